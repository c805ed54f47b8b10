"""Ways in which an attempt at a target ends."""

import enum

from lagoonbend._internal.models.verdict import Verdict


class AttemptOutcome(enum.Enum):
    """What the instance saw, and what it tells of the execution."""

    WHOLE_ANSWER = ('whole_answer', Verdict.RAN)
    ERROR_ANSWER = ('error_answer', Verdict.RAN)
    TURNED_AWAY = ('turned_away', Verdict.NOT_RUN)
    WRONG_TARGET = ('wrong_target', Verdict.NOT_RUN)
    NOT_CONNECTED = ('not_connected', Verdict.NOT_RUN)
    RESET = ('reset', Verdict.MAY_HAVE_RUN)
    BAD_ANSWER = ('bad_answer', Verdict.MAY_HAVE_RUN)
    SILENT = ('silent', Verdict.MAY_HAVE_RUN)
    BROKEN_STREAM = ('broken_stream', Verdict.MAY_HAVE_RUN)

    def __init__(self, label: str, verdict: Verdict) -> None:
        self.label = label
        self.verdict = verdict
