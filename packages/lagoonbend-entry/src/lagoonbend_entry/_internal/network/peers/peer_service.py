"""gRPC service for the calls of other instances."""

from typing import Protocol

from grpclib.server import Stream

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import TicketIssuer
from lagoonbend.exceptions import TicketError
from lagoonbend.models import ClaimDecision
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import Verdict
from lagoonbend_entry._internal.models.digest import Digest
from lagoonbend_entry._internal.network.peers import peer_messages
from lagoonbend_entry._internal.network.peers.generated import peer_grpc
from lagoonbend_entry._internal.network.peers.generated import peer_pb2
from lagoonbend_entry._internal.network.peers.peer_loop import PeerLoop


class PeerRequestHandler(Protocol):
    """Answers peers that send digests or demand, or fetch values."""

    def exchange(self, digest: Digest) -> Digest:
        """Record a peer's digest; return the digest of this instance."""

    def fetch_value(self, value: str) -> bytes:
        """Return a stored value of the platform; empty if unknown."""

    def report_demand(
        self, instance: str, demands: dict[str, float]
    ) -> dict[str, float]:
        """Record a peer's demand; return its shares of the limits."""


class PeerService(peer_grpc.PeerBase):
    """Answers the calls of peers; all state is used in the gevent hub.

    :param loop: asyncio loop that runs this service.
    :param ledger: claims on the keys that this instance holds.
    :param ticket_issuer: issues nonces.
    :param request_handler: answers exchanges, fetches and reports.
    """

    def __init__(
        self,
        loop: PeerLoop,
        ledger: ClaimLedger,
        ticket_issuer: TicketIssuer,
        request_handler: PeerRequestHandler,
    ) -> None:
        self._loop = loop
        self._ledger = ledger
        self._ticket_issuer = ticket_issuer
        self._request_handler = request_handler

    async def Claim(  # noqa: N802
        self,
        stream: Stream[peer_pb2.ClaimRequest, peer_pb2.ClaimReply],
    ) -> None:
        """Decide a claim."""
        message = await stream.recv_message()
        if message is None:
            return
        request = peer_messages.read_claim_request(message)
        reply = await self._loop.run_in_hub(
            lambda: decide_claim(self._ledger, request)
        )
        await stream.send_message(peer_messages.write_claim_reply(reply))

    async def Release(  # noqa: N802
        self,
        stream: Stream[peer_pb2.ReleaseRequest, peer_pb2.ReleaseReply],
    ) -> None:
        """Release a claim."""
        message = await stream.recv_message()
        if message is None:
            return
        released = await self._loop.run_in_hub(
            lambda: self._ledger.release(
                message.customer, message.key, message.attempt
            )
        )
        await stream.send_message(peer_pb2.ReleaseReply(released=released))

    async def Finish(  # noqa: N802
        self,
        stream: Stream[peer_pb2.FinishRequest, peer_pb2.FinishReply],
    ) -> None:
        """Record that a request has run."""
        message = await stream.recv_message()
        if message is None:
            return
        answer = None
        if message.HasField('answer'):
            answer = peer_messages.read_answer(message.answer)
        finished = await self._loop.run_in_hub(
            lambda: self._ledger.finish(
                message.customer, message.key, message.attempt, answer
            )
        )
        await stream.send_message(peer_pb2.FinishReply(finished=finished))

    async def Nonce(  # noqa: N802
        self,
        stream: Stream[peer_pb2.NonceRequest, peer_pb2.NonceReply],
    ) -> None:
        """Issue a nonce."""
        await stream.recv_message()
        nonce = await self._loop.run_in_hub(self._ticket_issuer.issue_nonce)
        await stream.send_message(peer_pb2.NonceReply(nonce=nonce))

    async def Exchange(  # noqa: N802
        self, stream: Stream[peer_pb2.Digest, peer_pb2.Digest]
    ) -> None:
        """Exchange digests."""
        message = await stream.recv_message()
        if message is None:
            return
        digest = peer_messages.read_digest(message)
        own = await self._loop.run_in_hub(
            lambda: self._request_handler.exchange(digest)
        )
        await stream.send_message(peer_messages.write_digest(own))

    async def FetchValue(  # noqa: N802
        self,
        stream: Stream[peer_pb2.FetchValueRequest, peer_pb2.FetchValueReply],
    ) -> None:
        """Return a value of the platform."""
        message = await stream.recv_message()
        if message is None:
            return
        body = await self._loop.run_in_hub(
            lambda: self._request_handler.fetch_value(message.value)
        )
        await stream.send_message(peer_pb2.FetchValueReply(body=body))

    async def ReportDemand(  # noqa: N802
        self,
        stream: Stream[peer_pb2.DemandReport, peer_pb2.DemandShares],
    ) -> None:
        """Record demand and return shares of customers' limits."""
        message = await stream.recv_message()
        if message is None:
            return
        shares = await self._loop.run_in_hub(
            lambda: self._request_handler.report_demand(
                message.instance, dict(message.demand_per_s)
            )
        )
        await stream.send_message(peer_pb2.DemandShares(shares=shares))


def decide_claim(ledger: ClaimLedger, request: ClaimRequest) -> ClaimReply:
    """Decide a claim.

    The decision on a ticket of another instance or incarnation is UNKNOWN.
    """
    try:
        return ledger.claim(request)
    except TicketError:
        return ClaimReply(ClaimDecision.UNKNOWN, Verdict.MAY_HAVE_RUN)
