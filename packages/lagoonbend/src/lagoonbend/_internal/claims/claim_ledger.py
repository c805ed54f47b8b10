"""Grants each idempotency key to one attempt."""

from lagoonbend._internal.claims.claim_entry import ClaimEntry
from lagoonbend._internal.claims.claim_entry import ClaimState
from lagoonbend._internal.claims.key_ownership import KeyOwnership
from lagoonbend._internal.claims.key_ownership import Ownership
from lagoonbend._internal.claims.key_window import KeyWindow
from lagoonbend._internal.claims.ticket import is_ticket
from lagoonbend._internal.claims.ticket import parse_ticket
from lagoonbend._internal.claims.ticket import Ticket
from lagoonbend._internal.claims.ticket_issuer import TicketIssuer
from lagoonbend._internal.models.claim_decision import ClaimDecision
from lagoonbend._internal.models.claim_reply import ClaimReply
from lagoonbend._internal.models.claim_request import ClaimRequest
from lagoonbend._internal.models.recorded_answer import RecordedAnswer
from lagoonbend._internal.models.verdict import Verdict
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.invariants import Invariants

UNKNOWN = ClaimReply(ClaimDecision.UNKNOWN, Verdict.MAY_HAVE_RUN)
NOT_OWNER = ClaimReply(ClaimDecision.NOT_OWNER, Verdict.MAY_HAVE_RUN)
GRANTED = ClaimReply(ClaimDecision.GRANTED, Verdict.NOT_RUN)


class ClaimLedger:
    """The claims on all keys of which this instance is the holder.

    A key is the idempotency key of a request: either a ticket, which an
    instance issued, or a bare key, which the caller chose. An instance is the
    holder of the tickets that it issued and of the bare keys that it owns. A
    grant permits one attempt to dispatch once, that is, to send the request to
    a target. A key is granted again only to the same attempt, or to another
    one after that attempt has released its claim.

    :param clock: clock of this instance.
    :param ticket_issuer: issues and checks this instance's tickets and nonces.
    :param ownership: ownership of bare keys.
    :param ticket_life_ms: time from its issue for which a ticket is granted.
    :param window: how long callers may repeat a bare key, and how long it is
        kept.
    :param invariants: checks that must always hold.
    """

    def __init__(
        self,
        clock: Clock,
        ticket_issuer: TicketIssuer,
        ownership: KeyOwnership,
        *,
        ticket_life_ms: int,
        window: KeyWindow,
        invariants: Invariants,
    ) -> None:
        self._clock = clock
        self._ticket_issuer = ticket_issuer
        self._ownership = ownership
        self._ticket_life_ms = ticket_life_ms
        self._window = window
        self._invariants = invariants
        self._entries: dict[tuple[str, str], ClaimEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Decide whether an attempt may dispatch.

        :raises TicketError: if the ticket is malformed or was issued to
            another customer.
        """
        if is_ticket(request.key):
            return self._claim_ticket(request, parse_ticket(request.key))
        return self._claim_bare_key(request)

    def release(self, customer: str, key: str, attempt: str) -> bool:
        """Release the claim of an attempt that has not dispatched.

        The attempt must never dispatch afterwards.

        :returns: True if the attempt held the claim.
        """
        entry = self._entries.get((customer, key))
        if entry is None or not entry.is_held_by(attempt):
            return False
        entry.release()
        return True

    def finish(
        self,
        customer: str,
        key: str,
        attempt: str,
        answer: RecordedAnswer | None,
    ) -> bool:
        """Record that the request of an attempt ran to completion.

        :returns: True if the attempt held the claim.
        """
        entry = self._entries.get((customer, key))
        if entry is None:
            return False
        self._invariants.check(
            entry.attempt == attempt,
            'finish_only_by_holder',
            f'attempt {attempt} finished the claim of {entry.attempt}',
        )
        if not entry.is_held_by(attempt):
            return False
        entry.finish(answer)
        return True

    def expire(self) -> int:
        """Remove expired keys; return how many."""
        now_ms = self._clock.now_ms()
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.forget_ms <= now_ms
        ]
        for name in expired:
            del self._entries[name]
        return len(expired)

    def _claim_ticket(
        self, request: ClaimRequest, ticket: Ticket
    ) -> ClaimReply:
        if not self._ticket_issuer.is_home_of(ticket):
            return UNKNOWN
        self._ticket_issuer.check(ticket, request.customer)
        entry = self._entries.get((request.customer, request.key))
        age_ms = self._clock.now_ms() - ticket.issued_ms
        if age_ms < self._ticket_life_ms:
            forget_ms = ticket.issued_ms + 2 * self._ticket_life_ms
            return self._grant(request, entry, forget_ms)
        if entry is not None:
            return self._reply_from_entry(entry, request)
        # Entries are kept for twice the life of a ticket: without one, a
        # ticket of that age was never granted.
        if age_ms < 2 * self._ticket_life_ms:
            return ClaimReply(ClaimDecision.EXPIRED, Verdict.NOT_RUN)
        return ClaimReply(ClaimDecision.EXPIRED, Verdict.MAY_HAVE_RUN)

    def _claim_bare_key(self, request: ClaimRequest) -> ClaimReply:
        entry = self._entries.get((request.customer, request.key))
        ownership = self._ownership.check_ownership(request.key)
        if ownership is not Ownership.OWNED:
            if entry is not None:
                return self._reply_as_former_owner(entry, request)
            if ownership is Ownership.NOT_OWNER:
                return NOT_OWNER
            return UNKNOWN
        age_ms = self._ticket_issuer.measure_nonce_age_ms(request.nonce)
        if age_ms is None or age_ms >= self._window.nonce_life_ms:
            if entry is not None:
                return self._reply_from_entry(entry, request)
            return UNKNOWN
        forget_ms = self._clock.now_ms() + self._window.retention_ms
        return self._grant(request, entry, forget_ms)

    def _grant(
        self,
        request: ClaimRequest,
        entry: ClaimEntry | None,
        forget_ms: int,
    ) -> ClaimReply:
        if entry is None:
            self._entries[request.customer, request.key] = ClaimEntry(
                request.attempt, request.fingerprint, forget_ms
            )
            return GRANTED
        if entry.fingerprint != request.fingerprint:
            return self._reply_from_entry(entry, request)
        if entry.is_held_by(request.attempt):
            return GRANTED
        if entry.state is not ClaimState.RELEASED:
            return self._reply_from_entry(entry, request)
        if request.attempt in entry.dead_attempts:
            return ClaimReply(ClaimDecision.EXPIRED, Verdict.NOT_RUN)
        entry.regrant(request.attempt, forget_ms)
        return GRANTED

    def _reply_as_former_owner(
        self, entry: ClaimEntry, request: ClaimRequest
    ) -> ClaimReply:
        reply = self._reply_from_entry(entry, request)
        if reply.verdict is Verdict.NOT_RUN:
            # The current owner may have granted the key since then.
            return UNKNOWN
        return reply

    def _reply_from_entry(
        self, entry: ClaimEntry, request: ClaimRequest
    ) -> ClaimReply:
        if entry.fingerprint != request.fingerprint:
            return ClaimReply(ClaimDecision.MISMATCH, Verdict.MAY_HAVE_RUN)
        if entry.state is ClaimState.FINISHED:
            return ClaimReply(
                ClaimDecision.FINISHED, Verdict.RAN, entry.answer
            )
        if entry.state is ClaimState.RELEASED:
            return ClaimReply(ClaimDecision.EXPIRED, Verdict.NOT_RUN)
        return ClaimReply(ClaimDecision.IN_PROGRESS, Verdict.MAY_HAVE_RUN)
