"""Outcomes of an attempt at a target."""

import enum

from lagoonbend._internal.models.verdict import Verdict


class AttemptOutcome(enum.Enum):
    """What the instance observed, and whether the call may have run.

    ``TURNED_AWAY``: the target rejected the call as full. ``SILENT``: the
    target sent nothing in time.
    """

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
