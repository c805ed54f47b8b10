"""The classes that a world is built from."""

from typing import NamedTuple

from lagoonbend.attempts import AttemptPath
from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import PauseDetector
from lagoonbend.claims import SeatOwnership
from lagoonbend.claims import TicketMint


class PartTypes(NamedTuple):
    """Real parts by default; a broken variant replaces one of them."""

    path: type[AttemptPath] = AttemptPath
    ledger: type[ClaimLedger] = ClaimLedger
    directory: type[HolderDirectory] = HolderDirectory
    pauses: type[PauseDetector] = PauseDetector
    ownership: type[SeatOwnership] = SeatOwnership
    mint: type[TicketMint] = TicketMint
