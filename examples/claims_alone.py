"""Uses the claims of at-most-once dispatch as a library, without the daemon.

Two attempts claim the same ticket; only the first one may run.
"""

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import KeyWindow
from lagoonbend.claims import TicketIssuer
from lagoonbend.clock import RuntimeClock
from lagoonbend.invariants import Invariants
from lagoonbend.models import ClaimRequest

clock = RuntimeClock()
window = KeyWindow(repeat_ms=60_000, arrival_ms=20_000, nonce_life_ms=2_000)
ticket_issuer = TicketIssuer('me', 'first-life', clock)
ownership = KeyOwnership(
    '127.0.0.1:7000', clock, window=window, confirm_ms=5_000
)
ledger = ClaimLedger(
    clock,
    ticket_issuer,
    ownership,
    ticket_life_ms=600_000,
    window=window,
    invariants=Invariants(),
)

ticket = ticket_issuer.issue('alice').to_text()
for attempt in ('first', 'second'):
    reply = ledger.claim(ClaimRequest('alice', ticket, attempt, 1))
    print(f'{attempt} attempt: {reply.decision.value}')
