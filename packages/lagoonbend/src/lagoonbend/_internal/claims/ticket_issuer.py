"""Issue and check of tickets and nonces."""

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

    The secret lives in memory alone: a restarted instance can't take an old
    ticket for one of its own.

    :param home: name of this instance.
    :param incarnation: incarnation of this instance.
    :param clock: clock that dates the tickets.
    """

    def __init__(self, home: str, incarnation: str, clock: Clock) -> None:
        self._home = home
        self._incarnation = incarnation
        self._clock = clock
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, customer: str) -> Ticket:
        """Return a fresh ticket for ``customer``; no state is kept."""
        born_ms = self._clock.now_ms()
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        tag = self._sign('ticket', customer, str(born_ms), nonce)
        return Ticket(self._home, self._incarnation, born_ms, nonce, tag)

    def is_home_of(self, ticket: Ticket) -> bool:
        """Return True if the ticket names this incarnation as its home."""
        home = (ticket.home, ticket.incarnation)
        return home == (self._home, self._incarnation)

    def check(self, ticket: Ticket, customer: str) -> None:
        """Check that this incarnation issued ``ticket`` to ``customer``.

        :raises TicketError: if it did not.
        """
        tag = self._sign('ticket', customer, str(ticket.born_ms), ticket.nonce)
        if not hmac.compare_digest(tag, ticket.tag):
            raise TicketError('ticket was not issued to this customer')

    def issue_nonce(self) -> str:
        """Return a nonce that shows when a claim was prepared."""
        born_ms = str(self._clock.now_ms())
        return f'{born_ms}.{self._sign("nonce", born_ms)}'

    def measure_nonce_age_ms(self, nonce: str) -> int | None:
        """Return the age of a nonce; None if this incarnation has no such."""
        born_ms, _, tag = nonce.partition('.')
        if not born_ms.isdecimal():
            return None
        if not hmac.compare_digest(tag, self._sign('nonce', born_ms)):
            return None
        return self._clock.now_ms() - int(born_ms)

    def _sign(self, *parts: str) -> str:
        text = '\x00'.join(parts).encode()
        digest = hmac.new(self._secret, text, hashlib.sha256).hexdigest()
        return digest[:TAG_HEX_DIGITS]
