"""Origins of streams that began elsewhere than where they were sent first.

Guards against a stream that is taken up at the version to which its call was
sent, while another version began it.
"""

from collections.abc import Iterator
import unittest
from unittest import mock

from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import compute_origin_key
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import SlotDecision
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.models import handover_mark
from tests.unit import test_errors_amid_a_call

KEY = compute_origin_key('', 'service', 'a')
PEER = ('10.0.1.1', 80)
HEAD = {
    'attempt-id': 'a',
    'server-stamp': 'stamp',
    'content-type': 'text/event-stream',
}


class OriginsOfHandedOverStreamsTest(test_errors_amid_a_call.HandlerCase):
    """An instance that reaches one target of v2 and a peer, and no v1."""

    def setUp(self) -> None:
        """Let the first slot be one at v1."""
        super().setUp()
        self.targets = {
            'old': build_target('old', 'v1'),
            'new': build_target('new', 'v2'),
        }
        self.slots = ['old']
        self.peer_marks: dict[str, str] | None = None
        self.sent: list[object] = []
        self.origins = self.build_exchange()
        self.coordinator.origins = self.origins
        self.handler._resumed_streams._origins = self.origins
        self.coordinator.acquire.side_effect = lambda *unused: SlotDecision(
            'call', 'instance', self.slots.pop(0)
        )
        self.facts.target_directory.find.side_effect = self.targets.get
        self.connection_pool.acquire.side_effect = self.connect
        self.handler.reachability = mock.Mock()
        self.handler.reachability.is_unreached.return_value = False
        peers = mock.Mock()
        peers.choose.side_effect = self.list_peers
        self.handler._handover._peers = peers
        self.origin_at_begin: list[str | None] = []

    def build_exchange(self) -> origin_exchange.OriginExchange:
        """Return the origins of an instance without keepers."""
        return origin_exchange.OriginExchange(
            self.clock,
            (lambda key: [], lambda service: ''),
            lambda *message: True,
            lambda service: '',
            lambda service: True,
        )

    def admit(self, request: IncomingRequest) -> AdmittedCall:
        """Admit a stream that may be resumed."""
        call = super().admit(request)
        route = call.route._replace(
            is_idempotent=True, is_streaming=True, is_resumable=True
        )
        return call._replace(route=route)

    def list_peers(self, service: str) -> list[mock.Mock]:
        """Return the peer if there is one."""
        if self.peer_marks is None:
            return []
        endpoint = '{}:{}'.format(*PEER)
        return [mock.Mock(callers_endpoint=endpoint, address='peer:1')]

    def connect(
        self, address: tuple[str, int], *, may_repeat: bool
    ) -> mock.Mock:
        """Return a connection on which one event arrives, unless it's v1."""
        if address == ('old', 80):
            raise target_error.NotConnectedError('refused')
        headers = dict(HEAD)
        if address == PEER:
            headers |= self.peer_marks or {}
        answer = Answer()
        answer.status = 200
        answer.header_map = headers
        answer.headers = list(headers.items())
        connection = mock.Mock(received_bytes=0, request_count=1)
        connection.read_head.return_value = answer
        connection.read_body.side_effect = lambda *unused: read_broken()
        return connection

    def find_origin(self) -> str | None:
        """Return the version that counts as the one that began the stream."""
        origin = self.origins.find(KEY)
        return origin.version if origin else None

    def serve(self) -> None:
        """Serve a call, whose caller leaves after the first event."""
        reply = mock.Mock(has_begun=False)

        def begin(*unused: object) -> None:
            reply.has_begun = True
            self.origin_at_begin.append(self.find_origin())

        reply.begin_stream.side_effect = begin
        headers = [('Host', 'h'), ('Attempt-Id', 'a')]
        self.handler.serve(
            IncomingRequest(
                method='POST',
                path='/',
                headers=headers,
                header_map={n.lower(): value for n, value in headers},
                body=b'',
                keeps_connection=True,
                accepts_chunked=True,
                received_ms=self.clock.now_ms(),
            ),
            reply,
        )
        self.assertEqual(bool(self.origin_at_begin), reply.has_begun)

    # Guards against a take-up at the version of an attempt that could not be
    # connected, while the peer has begun the stream at another one.
    def test_peer_names_the_origin(self) -> None:
        """It is known before the caller gets the first event."""
        self.peer_marks = dict(
            handover_mark.mark_answer([], self.targets['new'])
        )
        self.serve()
        self.assertEqual(['v2'], self.origin_at_begin)
        self.assertEqual('v2', self.find_origin())

    # Guards against the same with a peer of an earlier build.
    def test_origin_is_unknown_if_the_peer_does_not_name_it(self) -> None:
        """What the instance has tried itself says nothing."""
        self.peer_marks = {}
        self.serve()
        self.assertEqual([None], self.origin_at_begin)
        self.assertIsNone(self.find_origin())

    # Guards against a take-up at a version that has never had the call.
    def test_attempt_that_begins_nothing_is_no_origin(self) -> None:
        """Neither is one of a retry."""
        self.slots = ['old', 'old']
        self.serve()
        self.assertEqual([], self.origin_at_begin)
        self.assertIsNone(self.find_origin())

    def test_retry_that_begins_the_stream_is_its_origin(self) -> None:
        """It replaces nothing, since the first attempt left no origin."""
        self.slots = ['old', 'new']
        self.serve()
        self.assertEqual(['v2'], self.origin_at_begin)


def build_target(name: str, version: str) -> ListedTarget:
    """Return a target with a version, which is at an address of its name."""
    return ListedTarget(
        name, 'service', name, 80, 'd', 4, False, software_version=version
    )


def read_broken() -> Iterator[bytes]:
    """Yield one event, after which the connection ends."""
    yield b'id: 1\ndata: x\n\n'
    raise NetworkError('reset')


if __name__ == '__main__':
    unittest.main()
