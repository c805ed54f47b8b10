"""What one attempt at a target has brought."""

from typing import NamedTuple

from lagoonbend.outcomes import AttemptOutcome
from lagoonbend_entry._internal.gateway.answer import Answer


class AttemptReport(NamedTuple):
    """The end of an attempt.

    :param end: how it ended.
    :param target: where it was made.
    :param answer: answer that may be relayed whole; None if there is none
        or it has gone to the caller already.
    :param body: body of that answer.
    :param first_ms: time to the first bytes; 0 if there were none.
    :param detail: cause, for the logs.
    :param is_gone: True if the target doesn't live at its address any more.
    """

    end: AttemptOutcome
    target: str = ''
    answer: Answer | None = None
    body: bytes = b''
    first_ms: int = 0
    detail: str = ''
    is_gone: bool = False
