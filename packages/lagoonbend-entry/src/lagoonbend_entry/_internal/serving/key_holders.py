"""Finds the holder of a key and claims it there."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
import xxhash

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import is_ticket
from lagoonbend.claims import parse_ticket
from lagoonbend.claims import SeatOwnership
from lagoonbend.claims import TicketMint
from lagoonbend.exceptions import PeerError
from lagoonbend.exceptions import TicketError
from lagoonbend.membership import FleetView
from lagoonbend.models import Call
from lagoonbend.models import ClaimDecision
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import RecordedAnswer
from lagoonbend.models import RefusalCode
from lagoonbend_entry._internal.models.permit import Permit
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.network.peers.peer_service import decide_claim
from lagoonbend_entry._internal.serving import refusals
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

CLAIM_TRIES = 2
NOTIFY_TRIES = 5
NOTIFY_PAUSE_S = 0.2


class Claimed(NamedTuple):
    """What came of claiming a key.

    :param permit: the permission to dispatch, or None.
    :param answer: the recorded answer of an earlier attempt, or None.
    """

    permit: Permit | None
    answer: RecordedAnswer | None


class KeyHolders:
    """Claims keys at this instance or at a peer.

    :param instance: name of this instance.
    :param address: address of this instance's peer listener.
    :param ledger: claims that this instance holds.
    :param mint: issuer of this instance's tickets and nonces.
    :param ownership: owners of bare keys.
    :param fleet: list of instances.
    :param peers: client of other instances.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        ledger: ClaimLedger,
        mint: TicketMint,
        ownership: SeatOwnership,
        fleet: FleetView,
        peers: PeerClient,
    ) -> None:
        self._instance = instance
        self._address = address
        self._ledger = ledger
        self._mint = mint
        self._ownership = ownership
        self._fleet = fleet
        self._peers = peers

    def claim(self, call: Call) -> Claimed:
        """Claim the key of a call.

        :raises RefusedError: if the call must not be dispatched.
        """
        if call.key is None:
            raise ValueError('a call without a key has no holder')
        holder = self._find_holder(call.key)
        request = ClaimRequest(
            call.customer, call.key, call.attempt, fingerprint(call)
        )
        try:
            reply = self._ask(holder, request)
        except PeerError as error:
            log_event(
                Event.CLAIM_UNREACHABLE,
                attempt=call.attempt,
                reason=str(error),
            )
            permit = Permit(holder, call.customer, call.key, call.attempt)
            gevent.spawn(self.release, permit)
            raise refusals.refuse_unreachable_owner() from error
        if reply.decision is ClaimDecision.GRANTED:
            permit = Permit(holder, call.customer, call.key, call.attempt)
            return Claimed(permit, None)
        if reply.answer is not None:
            return Claimed(None, reply.answer)
        raise refusals.refuse_claim(reply)

    def release(self, permit: Permit) -> None:
        """Give back the claim of an attempt that will never dispatch."""
        holder = permit.holder
        name = permit[1:]
        if holder is None:
            self._ledger.release(*name)
            return
        _notify(lambda: self._peers.release(holder, *name))

    def finish(self, permit: Permit, answer: RecordedAnswer | None) -> None:
        """Tell the holder that the request has run."""
        holder = permit.holder
        name = permit[1:]
        if holder is None:
            self._ledger.finish(*name, answer)
            return
        if not _notify(lambda: self._peers.finish(holder, *name, answer)):
            log_event(Event.FINISH_LOST, attempt=permit.attempt)

    def _find_holder(self, key: str) -> str | None:
        if is_ticket(key):
            return self._find_home(key)
        owner = self._ownership.find_owner(key)
        if owner is None:
            raise refusals.refuse_unreachable_owner()
        return None if owner == self._address else owner

    def _find_home(self, key: str) -> str | None:
        try:
            ticket = parse_ticket(key)
        except TicketError as error:
            raise refusals.refuse(
                400, RefusalCode.MALFORMED, str(error)
            ) from error
        if ticket.home == self._instance:
            return None
        peer = self._fleet.find_peer(ticket.home)
        if peer is None:
            raise refusals.refuse_unreachable_owner()
        return peer.address

    def _ask(self, holder: str | None, request: ClaimRequest) -> ClaimReply:
        if holder is None:
            return self._ask_self(request)
        if not is_ticket(request.key):
            nonce = self._peers.fetch_nonce(holder)
            request = request._replace(nonce=nonce)
        for _ in range(CLAIM_TRIES - 1):
            try:
                return self._peers.claim(holder, request)
            except PeerError:
                continue
        return self._peers.claim(holder, request)

    def _ask_self(self, request: ClaimRequest) -> ClaimReply:
        if not is_ticket(request.key):
            request = request._replace(nonce=self._mint.issue_nonce())
        return decide_claim(self._ledger, request)


def fingerprint(call: Call) -> int:
    """Return a hash of what a repeat of the call has in common with it."""
    head = f'{call.method}\x00{call.path}\x00'.encode()
    return int(xxhash.xxh3_64_intdigest(head + call.body))


def _notify(tell: Callable[[], bool]) -> bool:
    for _ in range(NOTIFY_TRIES):
        try:
            tell()
        except PeerError:
            gevent.sleep(NOTIFY_PAUSE_S)
        else:
            return True
    return False
