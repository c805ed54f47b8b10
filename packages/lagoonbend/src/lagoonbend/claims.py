"""At-most-once dispatch by claims held in memory."""

from lagoonbend._internal.claims.claim_ledger import ClaimLedger
from lagoonbend._internal.claims.holder_directory import HolderDirectory
from lagoonbend._internal.claims.key_ownership import KeyOwnership
from lagoonbend._internal.claims.key_ownership import Ownership
from lagoonbend._internal.claims.key_window import KeyWindow
from lagoonbend._internal.claims.pause_detector import PauseDetector
from lagoonbend._internal.claims.ticket import is_ticket
from lagoonbend._internal.claims.ticket import parse_ticket
from lagoonbend._internal.claims.ticket import Ticket
from lagoonbend._internal.claims.ticket_issuer import TicketIssuer

__all__ = [
    'ClaimLedger',
    'HolderDirectory',
    'KeyWindow',
    'Ownership',
    'PauseDetector',
    'KeyOwnership',
    'Ticket',
    'TicketIssuer',
    'is_ticket',
    'parse_ticket',
]
