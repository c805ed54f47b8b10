"""Result of one attempt at a target."""

from typing import NamedTuple

from lagoonbend.outcomes import AttemptOutcome
from lagoonbend_entry._internal.gateway.answer import Answer

BROKEN_EXCHANGES = (
    AttemptOutcome.RESET,
    AttemptOutcome.BAD_ANSWER,
    AttemptOutcome.BROKEN_STREAM,
)


class AttemptReport(NamedTuple):
    """How an attempt ended, with the answer if there is one to relay.

    :param outcome: how the attempt ended.
    :param target: identity of the target.
    :param answer: complete answer to relay; None if there is none or it has
        been relayed already.
    :param body: body of that answer.
    :param first_byte_ms: time to first byte; 0 if nothing arrived.
    :param detail: cause, for the log.
    :param is_target_absent: True if the target is no longer at its address.
    :param asks_for_pause: True if the target wants no requests for a while.
    :param is_target_closed: True if the target got no request because it
        leaves or pauses.
    :param is_sent: True if the call has been sent to the target.
    :param has_answered: True if an event, or a whole answer, has arrived.
    """

    outcome: AttemptOutcome
    target: str = ''
    answer: Answer | None = None
    body: bytes = b''
    first_byte_ms: int = 0
    detail: str = ''
    is_target_absent: bool = False
    asks_for_pause: bool = False
    is_target_closed: bool = False
    is_sent: bool = False
    has_answered: bool = False

    @property
    def status(self) -> int | None:
        """Status of the answer to relay; None if there is none."""
        return self.answer.status if self.answer is not None else None

    @property
    def is_lost_unanswered(self) -> bool:
        """True if the exchange broke before the target had answered."""
        return (
            self.is_sent
            and not self.has_answered
            and self.outcome in BROKEN_EXCHANGES
        )
