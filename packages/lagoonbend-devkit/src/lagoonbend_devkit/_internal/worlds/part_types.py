"""The classes that a world is built from."""

from typing import NamedTuple

from lagoonbend.attempts import CallAttempt
from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import PauseDetector
from lagoonbend.claims import TicketIssuer


class PartTypes(NamedTuple):
    """Real parts by default; a broken variant replaces one of them."""

    call_attempt: type[CallAttempt] = CallAttempt
    ledger: type[ClaimLedger] = ClaimLedger
    directory: type[HolderDirectory] = HolderDirectory
    pauses: type[PauseDetector] = PauseDetector
    ownership: type[KeyOwnership] = KeyOwnership
    ticket_issuer: type[TicketIssuer] = TicketIssuer
