"""Issues and checks tickets and nonces."""

import hashlib
import hmac
import secrets

from lagoonbend._internal.claims.ticket import Ticket
from lagoonbend._internal.exceptions import TicketError
from lagoonbend._internal.utils.clock import Clock

SECRET_BYTES = 32
NONCE_BYTES = 9
TAG_HEX_DIGITS = 32


class TicketIssuer:
    """Issues tickets that only this incarnation accepts.

    The secret is kept in memory only, so that a restarted instance can't
    mistake a ticket of an earlier incarnation for one of its own.

    :param home: name of this instance.
    :param incarnation: incarnation of this instance.
    :param clock: clock of this instance, which dates the tickets.
    """

    def __init__(self, home: str, incarnation: str, clock: Clock) -> None:
        self._home = home
        self._incarnation = incarnation
        self._clock = clock
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, customer: str) -> Ticket:
        """Return a new ticket for ``customer``; nothing is stored."""
        issued_ms = self._clock.now_ms()
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        tag = self._sign('ticket', customer, str(issued_ms), nonce)
        return Ticket(self._home, self._incarnation, issued_ms, nonce, tag)

    def is_home_of(self, ticket: Ticket) -> bool:
        """Return True if the ticket names this incarnation as its home."""
        home = (ticket.home, ticket.incarnation)
        return home == (self._home, self._incarnation)

    def check(self, ticket: Ticket, customer: str) -> None:
        """Check that this incarnation issued ``ticket`` to ``customer``.

        :raises TicketError: if it did not.
        """
        tag = self._sign(
            'ticket', customer, str(ticket.issued_ms), ticket.nonce
        )
        if not hmac.compare_digest(tag, ticket.tag):
            raise TicketError('ticket was not issued to this customer')

    def issue_nonce(self) -> str:
        """Return a nonce that proves when it was issued."""
        issued_ms = str(self._clock.now_ms())
        return f'{issued_ms}.{self._sign("nonce", issued_ms)}'

    def measure_nonce_age_ms(self, nonce: str) -> int | None:
        """Return a nonce's age; None if this incarnation didn't issue it."""
        issued_ms, _, tag = nonce.partition('.')
        if not issued_ms.isdecimal():
            return None
        if not hmac.compare_digest(tag, self._sign('nonce', issued_ms)):
            return None
        return self._clock.now_ms() - int(issued_ms)

    def _sign(self, *parts: str) -> str:
        text = '\x00'.join(parts).encode()
        digest = hmac.new(self._secret, text, hashlib.sha256).hexdigest()
        return digest[:TAG_HEX_DIGITS]
