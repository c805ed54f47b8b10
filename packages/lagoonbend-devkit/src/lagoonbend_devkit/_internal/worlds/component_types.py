"""The classes that a simulated process is built from."""

from typing import NamedTuple

from lagoonbend.attempts import CallAttempt
from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import PauseDetector
from lagoonbend.claims import TicketIssuer


class ComponentTypes(NamedTuple):
    """The real classes by default; a broken variant replaces one of them."""

    call_attempt: type[CallAttempt] = CallAttempt
    ledger: type[ClaimLedger] = ClaimLedger
    holder_directory: type[HolderDirectory] = HolderDirectory
    pause_detector: type[PauseDetector] = PauseDetector
    ownership: type[KeyOwnership] = KeyOwnership
    ticket_issuer: type[TicketIssuer] = TicketIssuer
