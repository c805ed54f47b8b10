"""Broken variants of the classes that implement claims.

Each variant leaves out one rule that keeps a call from running twice. Tests
run the simulated fleet with a variant and expect a check to fail, which shows
that the check detects the missing rule.
"""

from typing import Any

from lagoonbend.attempts import CallAttempt
from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import KeyWindow
from lagoonbend.claims import PauseDetector
from lagoonbend.claims import Ticket
from lagoonbend.claims import TicketIssuer
from lagoonbend.models import SeatPlan
from lagoonbend_devkit._internal.experiments import strategies
from lagoonbend_devkit.worlds import ComponentTypes


class UnconfirmedOwnership(KeyOwnership):
    """Accepts keys of a new epoch unconfirmed by their former owners."""

    def apply(self, plan: SeatPlan) -> None:
        """Apply the plan without its former seats."""
        super().apply(plan._replace(former=()))


class AnswerDatedOwnership(KeyOwnership):
    """Dates an epoch by the arrival of the answer, not by the question.

    The answer may have been delayed on its way, so the epoch that it reports
    may be out of date when it arrives.
    """

    def record_epoch(self, address: str, epoch: int, asked_ms: int) -> None:
        """Record the epoch as of now instead of ``asked_ms``."""
        super().record_epoch(address, epoch, self._clock.now_ms())


class RepeatOnlyKeyWindow(KeyWindow):
    """Leaves out the time that the last repeat takes to arrive."""

    @property
    def retention_ms(self) -> int:
        """Length of the repeat window, without any addition."""
        return self.repeat_ms


class ShortRetentionLedger(ClaimLedger):
    """Retains bare keys for the repeat window only."""

    def __init__(self, *args: Any, window: KeyWindow, **kwargs: Any) -> None:
        super().__init__(*args, window=RepeatOnlyKeyWindow(*window), **kwargs)


class AgelessNonceIssuer(TicketIssuer):
    """Treats every nonce as just issued."""

    def measure_nonce_age_ms(self, nonce: str) -> int | None:
        """Return an age of 0 for any nonce."""
        return 0


class AnyIncarnationIssuer(TicketIssuer):
    """Accepts tickets that an earlier incarnation issued."""

    def is_home_of(self, ticket: Ticket) -> bool:
        """Compare the instance name and ignore the incarnation."""
        return ticket.home == self._home

    def check(self, ticket: Ticket, customer: str) -> None:
        """Accept any ticket without checking its signature."""


class NoPauseDetector(PauseDetector):
    """Never detects that the process was paused."""

    def is_age_known(self, connected_ms: int) -> bool:
        """Return True, also for connections that were open in a pause."""
        return True


class UnlimitedReceiptAgeAttempt(CallAttempt):
    """Skips the limit on the time since a bare key was received.

    A call of unknown age is still refused.
    """

    def _check_age(self) -> None:
        if not self.call.age_known:
            super()._check_age()


class ReleasingClaimAttempt(CallAttempt):
    """Releases a claim although the request may have run."""

    def _begin_dispatch(self, target: Any) -> None:
        super()._begin_dispatch(target)
        verdict = type(self.verdict)
        self.verdict = verdict('not_run')


# Variants by the rule that they leave out.
BROKEN_VARIANTS = {
    'memory of each instance alone': strategies.LOCAL_MEMORY,
    'no quarantine after a start': strategies.NO_QUARANTINE,
    'ownership moves unconfirmed': ComponentTypes(
        ownership=UnconfirmedOwnership
    ),
    'late word taken for fresh': ComponentTypes(
        ownership=AnswerDatedOwnership
    ),
    'memory as long as the window': ComponentTypes(
        ledger=ShortRetentionLedger
    ),
    'nonce without an age': ComponentTypes(ticket_issuer=AgelessNonceIssuer),
    'ticket of an earlier incarnation': ComponentTypes(
        ticket_issuer=AnyIncarnationIssuer
    ),
    'pause not noticed': ComponentTypes(pause_detector=NoPauseDetector),
    'receipt without an age': ComponentTypes(
        call_attempt=UnlimitedReceiptAgeAttempt
    ),
    'claim given back after the write': ComponentTypes(
        call_attempt=ReleasingClaimAttempt
    ),
}
