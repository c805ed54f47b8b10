"""Carries claims to their holder, here or at a peer."""

from collections.abc import Callable

import gevent

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import TicketIssuer
from lagoonbend.exceptions import PeerError
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import Permit
from lagoonbend.models import RecordedAnswer
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.network.peers.peer_service import decide_claim
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

NOTIFY_TRIES = 5
NOTIFY_PAUSE_S = 0.2
FINISH_WAIT_S = 0.02


class ClaimCourier:
    """Asks and tells holders of keys.

    :param ledger: claims that this instance holds.
    :param ticket_issuer: issuer of this instance's nonces.
    :param peers: client of other instances.
    """

    def __init__(
        self,
        ledger: ClaimLedger,
        ticket_issuer: TicketIssuer,
        peers: PeerClient,
    ) -> None:
        self._ledger = ledger
        self._ticket_issuer = ticket_issuer
        self._peers = peers

    def fetch_nonce(self, holder: str | None) -> str:
        """Return a nonce of the holder.

        :raises PeerError: if the holder can't be asked.
        """
        if holder is None:
            return self._ticket_issuer.issue_nonce()
        return self._peers.fetch_nonce(holder)

    def send_claim(
        self, holder: str | None, request: ClaimRequest
    ) -> ClaimReply:
        """Return the holder's decision.

        :raises PeerError: if the holder can't be asked.
        """
        if holder is None:
            return decide_claim(self._ledger, request)
        try:
            return self._peers.claim(holder, request)
        except PeerError as error:
            log_event(
                Event.CLAIM_UNREACHABLE,
                attempt=request.attempt,
                reason=str(error),
            )
            raise

    def release(self, permit: Permit) -> None:
        """Give a claim back, in the background if it is held elsewhere."""
        if permit.holder is None:
            self._ledger.release(permit.customer, permit.key, permit.attempt)
            return
        gevent.spawn(_notify, lambda: self._peers.release(permit))

    def finish(self, permit: Permit, answer: RecordedAnswer | None) -> None:
        """Tell that a request ran.

        A holder elsewhere is waited for briefly, so that a repeat that
        follows the answer finds it recorded, and then told in the
        background.
        """
        if permit.holder is None:
            self._ledger.finish(
                permit.customer, permit.key, permit.attempt, answer
            )
            return
        told = gevent.spawn(
            _notify, lambda: self._peers.finish(permit, answer)
        )
        told.join(FINISH_WAIT_S)


def _notify(tell: Callable[[], bool]) -> None:
    for _ in range(NOTIFY_TRIES):
        try:
            tell()
        except PeerError:
            gevent.sleep(NOTIFY_PAUSE_S)
        else:
            return
    log_event(Event.HOLDER_NOT_TOLD)
