"""Sends claims to the instance that holds the key, local or remote."""

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

MAX_NOTIFY_SENDS = 5
"""Times that the release or the end of a claim is reported to a holder that
does not answer, before that is logged and given up."""
NOTIFY_RETRY_DELAY_S = 0.2
FINISH_TIMEOUT_S = 0.02


class ClaimClient:
    """Claims keys at their holders, and releases or finishes the claims.

    A holder of None is this instance.

    :param ledger: claims on the keys that this instance holds.
    :param ticket_issuer: issues this instance's nonces.
    :param peers: client for other instances.
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
        """Return a nonce issued by the holder.

        :raises PeerError: if the holder does not answer.
        """
        if holder is None:
            return self._ticket_issuer.issue_nonce()
        return self._peers.fetch_nonce(holder)

    def send_claim(
        self, holder: str | None, request: ClaimRequest
    ) -> ClaimReply:
        """Return the holder's decision on a claim.

        :raises PeerError: if the holder does not answer.
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
        """Release a claim; in the background if a peer holds the key."""
        if permit.holder is None:
            self._ledger.release(permit.customer, permit.key, permit.attempt)
            return
        gevent.spawn(_notify, lambda: self._peers.release(permit))

    def finish(self, permit: Permit, answer: RecordedAnswer | None) -> None:
        """Report to the holder that a request has run.

        Waits up to ``FINISH_TIMEOUT_S`` for a remote holder, so that a
        repeat sent right after the answer finds it recorded; after that, the
        report goes on in the background.
        """
        if permit.holder is None:
            self._ledger.finish(
                permit.customer, permit.key, permit.attempt, answer
            )
            return
        notification = gevent.spawn(
            _notify, lambda: self._peers.finish(permit, answer)
        )
        notification.join(FINISH_TIMEOUT_S)


def _notify(send: Callable[[], bool]) -> None:
    for _ in range(MAX_NOTIFY_SENDS):
        try:
            send()
        except PeerError:
            gevent.sleep(NOTIFY_RETRY_DELAY_S)
        else:
            return
    log_event(Event.HOLDER_NOT_TOLD)
