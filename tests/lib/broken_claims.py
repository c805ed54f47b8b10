"""Broken variants of the claim parts, each without one of its rules."""

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


class CarelessOwnership(KeyOwnership):
    """Moves keys to new owners without a word of the former ones."""

    def apply(self, plan: SeatPlan) -> None:
        """Forget the former seats."""
        super().apply(plan._replace(former=()))


class GullibleOwnership(KeyOwnership):
    """Takes the time of an answer for the time of its truth."""

    def record_epoch(self, address: str, epoch: int, asked_ms: int) -> None:
        """Date the answer now."""
        super().record_epoch(address, epoch, self._clock.now_ms())


class ShortWindow(KeyWindow):
    """Forgets that the last repeat takes time to arrive."""

    @property
    def retention_ms(self) -> int:
        """The repeat window alone."""
        return self.repeat_ms


class ForgetfulLedger(ClaimLedger):
    """Remembers bare keys for the repeat window alone."""

    def __init__(self, *args: Any, window: KeyWindow, **kwargs: Any) -> None:
        super().__init__(*args, window=ShortWindow(*window), **kwargs)


class TimelessMint(TicketIssuer):
    """Takes every nonce for fresh."""

    def measure_nonce_age_ms(self, nonce: str) -> int | None:
        """Return 0."""
        return 0


class ImmortalMint(TicketIssuer):
    """Takes the tickets of earlier incarnations for its own."""

    def is_home_of(self, ticket: Ticket) -> bool:
        """Compare the name alone."""
        return ticket.home == self._home

    def check(self, ticket: Ticket, customer: str) -> None:
        """Accept the ticket."""


class BlindDetector(PauseDetector):
    """Never notices a pause."""

    def is_age_known(self, connected_ms: int) -> bool:
        """Return True."""
        return True


class ImpatientPath(CallAttempt):
    """Does not look how long ago a bare key was received."""

    def _check_age(self) -> None:
        if not self.call.age_known:
            super()._check_age()


class ForgivingPath(CallAttempt):
    """Gives a claim back although the request may have run."""

    def _begin_dispatch(self, target: Any) -> None:
        super()._begin_dispatch(target)
        verdict = type(self.verdict)
        self.verdict = verdict('not_run')


BROKEN = {
    'memory of each instance alone': strategies.LOCAL_MEMORY,
    'no quarantine after a start': strategies.NO_QUARANTINE,
    'ownership moves unconfirmed': ComponentTypes(ownership=CarelessOwnership),
    'late word taken for fresh': ComponentTypes(ownership=GullibleOwnership),
    'memory as long as the window': ComponentTypes(ledger=ForgetfulLedger),
    'nonce without an age': ComponentTypes(ticket_issuer=TimelessMint),
    'ticket of an earlier incarnation': ComponentTypes(
        ticket_issuer=ImmortalMint
    ),
    'pause not noticed': ComponentTypes(pause_detector=BlindDetector),
    'receipt without an age': ComponentTypes(call_attempt=ImpatientPath),
    'claim given back after the write': ComponentTypes(
        call_attempt=ForgivingPath
    ),
}
