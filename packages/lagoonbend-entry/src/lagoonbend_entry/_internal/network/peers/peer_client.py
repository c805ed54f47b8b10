"""Client for the calls to other instances."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from lagoonbend.exceptions import PeerError
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import Permit
from lagoonbend.models import RecordedAnswer
from lagoonbend_entry._internal.models.digest import Digest
from lagoonbend_entry._internal.network.link_gate import LinkGate
from lagoonbend_entry._internal.network.peers import peer_messages
from lagoonbend_entry._internal.network.peers.generated import peer_grpc
from lagoonbend_entry._internal.network.peers.generated import peer_pb2
from lagoonbend_entry._internal.network.peers.peer_loop import PeerLoop

Result = TypeVar('Result')
MILLISECONDS_PER_SECOND = 1000
FAILURES = (TimeoutError, OSError, GRPCError, StreamTerminatedError)


class PeerClient:
    """Calls other instances over one gRPC channel per address.

    :param loop: asyncio loop that runs the channels.
    :param gate: addresses that a test has made unreachable.
    :param timeout_ms: timeout of one call.
    """

    def __init__(
        self, loop: PeerLoop, gate: LinkGate, *, timeout_ms: int
    ) -> None:
        self._loop = loop
        self._gate = gate
        self._timeout_s = timeout_ms / MILLISECONDS_PER_SECOND
        self._stubs: dict[str, peer_grpc.PeerStub] = {}
        self._channels: dict[str, Channel] = {}

    def fetch_nonce(self, address: str) -> str:
        """Return a nonce issued by the instance at ``address``.

        :raises PeerError: if the instance does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> str:
            message = peer_pb2.NonceRequest()
            reply = await stub.Nonce(message, timeout=self._timeout_s)
            return reply.nonce

        return self._call_peer(address, call)

    def claim(self, address: str, request: ClaimRequest) -> ClaimReply:
        """Ask the instance at ``address`` to decide a claim.

        :raises PeerError: if the instance does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> ClaimReply:
            message = peer_messages.write_claim_request(request)
            reply = await stub.Claim(message, timeout=self._timeout_s)
            return peer_messages.read_claim_reply(reply)

        return self._call_peer(address, call)

    def release(self, permit: Permit) -> bool:
        """Release the claim of a permit at the instance that holds its key.

        :raises PeerError: if the holder does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> bool:
            message = peer_pb2.ReleaseRequest(
                customer=permit.customer,
                key=permit.key,
                attempt=permit.attempt,
            )
            reply = await stub.Release(message, timeout=self._timeout_s)
            return reply.released

        return self._call_peer(permit.holder or '', call)

    def finish(self, permit: Permit, answer: RecordedAnswer | None) -> bool:
        """Report to the holder of a key that the request has run.

        :raises PeerError: if the holder does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> bool:
            message = peer_pb2.FinishRequest(
                customer=permit.customer,
                key=permit.key,
                attempt=permit.attempt,
            )
            if answer is not None:
                message.answer.CopyFrom(peer_messages.write_answer(answer))
            reply = await stub.Finish(message, timeout=self._timeout_s)
            return reply.finished

        return self._call_peer(permit.holder or '', call)

    def exchange(self, address: str, digest: Digest) -> Digest:
        """Exchange digests of the known state with another instance.

        :raises PeerError: if the instance does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> Digest:
            message = peer_messages.write_digest(digest)
            reply = await stub.Exchange(message, timeout=self._timeout_s)
            return peer_messages.read_digest(reply)

        return self._call_peer(address, call)

    def fetch_value(self, address: str, value: str) -> bytes:
        """Return a value of the platform that the instance at ``address`` has.

        :raises PeerError: if the instance does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> bytes:
            message = peer_pb2.FetchValueRequest(value=value)
            reply = await stub.FetchValue(message, timeout=self._timeout_s)
            return reply.body

        return self._call_peer(address, call)

    def report_demand(
        self, address: str, instance: str, demands: dict[str, float]
    ) -> dict[str, float]:
        """Report demand to the owner of limits; return this instance's shares.

        :raises PeerError: if the instance does not answer in time.
        """

        async def call(stub: peer_grpc.PeerStub) -> dict[str, float]:
            message = peer_pb2.DemandReport(
                instance=instance, demand_per_s=demands
            )
            reply = await stub.ReportDemand(message, timeout=self._timeout_s)
            return dict(reply.shares)

        return self._call_peer(address, call)

    def _call_peer(
        self,
        address: str,
        call: Callable[[peer_grpc.PeerStub], Awaitable[Result]],
    ) -> Result:
        self._gate.check(address)
        result = self._loop.run_in_loop(self._run(address, call))
        self._gate.check(address)
        return result

    async def _run(
        self,
        address: str,
        call: Callable[[peer_grpc.PeerStub], Awaitable[Result]],
    ) -> Result:
        try:
            return await call(self._get_stub(address))
        except (
            TimeoutError,
            OSError,
            GRPCError,
            StreamTerminatedError,
        ) as error:
            raise PeerError(
                f'call failed: {type(error).__name__}',
                context=f'peer {address}',
                hint='check that the instance is running and reachable',
            ) from error

    def _get_stub(self, address: str) -> peer_grpc.PeerStub:
        stub = self._stubs.get(address)
        if stub is None:
            ip, _, port = address.rpartition(':')
            self._channels[address] = Channel(ip, int(port))
            stub = peer_grpc.PeerStub(self._channels[address])
            self._stubs[address] = stub
        return stub
