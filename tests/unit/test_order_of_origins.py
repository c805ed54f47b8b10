"""Origins of one stream that differ, and arrive in any order.

Guards against a stream that is taken up at the version of an attempt whose
events its caller never got: a peer began it, its link broke, and the stream
began anew elsewhere.
"""

import unittest
from unittest import mock

import gevent
import msgspec

from lagoonbend.clock import PausedClock
from lagoonbend.facts import compute_origin_key
from lagoonbend.facts import StreamOrigin
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.gateway.resumed_streams import ResumedStreams
from lagoonbend_entry._internal.platform import call_headers

KEY = compute_origin_key('', 'chat', 'a')
LEFT_MS = 9_000
ADDRESSES = ('caller-side', 'helper', 'keeper')


class _EarlierWireOrigin(msgspec.Struct, array_like=True):
    """An origin as e89f1ea and 7cc0427 know it."""

    key: int
    version: str
    left_ms: int


class OrderOfOriginsTest(unittest.TestCase):
    """Three instances; the test delivers their messages."""

    def setUp(self) -> None:
        """Create the instances of a service with two versions."""
        self.clock = PausedClock()
        self.sent: dict[str, list[messages.Message]] = {}
        self.exchanges = {
            address: self.build_exchange(address) for address in ADDRESSES
        }

    def build_exchange(self, address: str) -> origin_exchange.OriginExchange:
        """Return an exchange that sends to the keeper."""
        self.sent[address] = []

        def send(peer: str, message: messages.Message) -> bool:
            self.sent[address].append(message)
            return True

        exchange = origin_exchange.OriginExchange(
            self.clock,
            (lambda key: ['keeper'], lambda service: ''),
            send,
            lambda service: '',
            lambda service: True,
        )
        exchange.start()
        return exchange

    def begin(
        self,
        address: str,
        version: str,
        *,
        is_handed_over: bool = False,
        last_event: str = '',
    ) -> None:
        """Let the stream begin at an instance."""
        call = mock.MagicMock(
            service='chat', customer=None, is_handed_over=is_handed_over
        )
        headers = {'attempt-id': 'a'}
        if last_event:
            headers = {
                'attempt-id': 'b',
                'resumes': 'a',
                'last-event-id': last_event,
            }
        call.headers = call_headers.decode_call_headers(headers)
        call.route.timeout_ms = LEFT_MS
        call.request.received_ms = self.clock.now_ms()
        ResumedStreams(mock.Mock(), self.exchanges[address]).record(
            call, version
        )
        gevent.sleep(0.05)

    def deliver(self, *addresses: str) -> None:
        """Deliver what instances have sent to the keeper."""
        for address in addresses:
            for message in self.sent[address]:
                received = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(message), type=messages.Origins
                )
                self.exchanges['keeper'].handle_origins(received)

    def tell(self, *versions: str) -> None:
        """Let the keeper hear of versions from peers of an earlier build."""
        for version in versions:
            message = msgspec.msgpack.decode(
                msgspec.msgpack.encode(['Origins', [[KEY, version, LEFT_MS]]]),
                type=messages.Origins,
            )
            self.exchanges['keeper'].handle_origins(message)

    def find(self, address: str = 'keeper') -> str | None:
        """Return the version that an instance takes for the origin."""
        origin = self.exchanges[address].find(KEY)
        return origin.version if origin else None

    def check_orders(self, expected: str | None, *addresses: str) -> None:
        """Check what the keeper finds, in both orders of arrival."""
        for order in (addresses, addresses[::-1]):
            self.exchanges['keeper'] = self.build_exchange('keeper')
            self.deliver(*order)
            self.assertEqual(expected, self.find(), order)

    # Guards against a peer that stood still, or was cut off, and tells of a
    # beginning that the caller has not seen.
    def test_instance_that_answers_the_caller_is_right(self) -> None:
        """The peer's origin doesn't replace its, and is replaced by it."""
        self.begin('helper', 'v2', is_handed_over=True)
        self.begin('caller-side', 'v1')
        self.check_orders('v1', 'caller-side', 'helper')

    # Guards against the same when the peer is reached again and sends all.
    def test_peer_that_comes_back_replaces_nothing(self) -> None:
        """Nor does it keep its own once it has been told."""
        self.begin('helper', 'v2', is_handed_over=True)
        self.begin('caller-side', 'v1')
        self.deliver('caller-side')
        self.sent['helper'].clear()
        self.exchanges['helper'].send_all('keeper')
        self.deliver('helper')
        self.assertEqual('v1', self.find())
        for message in self.sent['caller-side']:
            assert isinstance(message, messages.Origins)
            self.exchanges['helper'].handle_origins(message)
        self.assertEqual('v1', self.find('helper'))

    # Guards against a guess between two statements of the same weight.
    def test_origins_of_two_peers_that_differ_are_unknown(self) -> None:
        """The instance that has handed the call over twice may be gone."""
        self.begin('helper', 'v2', is_handed_over=True)
        self.begin('caller-side', 'v1', is_handed_over=True)
        self.check_orders(None, 'caller-side', 'helper')
        self.sent['keeper'].clear()
        self.exchanges['keeper'].send_all('peer')
        self.assertEqual([], list_origins(self.sent['keeper']))

    def test_stated_origin_ends_the_doubt(self) -> None:
        """The instance that answers the caller may tell of it later."""
        self.tell('v2', 'v1')
        self.assertIsNone(self.find())
        self.begin('caller-side', 'v1')
        self.deliver('caller-side')
        self.assertEqual('v1', self.find())

    # Guards against what earlier builds say when they only send a call.
    def test_origin_of_an_earlier_build_replaces_none(self) -> None:
        """It is known while nothing else is."""
        self.tell('v2')
        self.assertEqual('v2', self.find())
        self.begin('caller-side', 'v1')
        self.deliver('caller-side')
        self.tell('v2')
        self.assertEqual('v1', self.find())

    # Guards against a take-up whose version was inferred.
    def test_take_up_states_no_origin(self) -> None:
        """It lengthens the time of the one that is known."""
        self.begin('helper', 'v1')
        self.clock.advance(LEFT_MS - 1_000)
        self.begin('caller-side', 'v2', last_event='3')
        self.check_orders('v1', 'caller-side', 'helper')
        self.begin('caller-side', 'v1', last_event='3')
        self.exchanges['keeper'] = self.build_exchange('keeper')
        self.deliver('helper')
        self.sent['caller-side'] = self.sent['caller-side'][-1:]
        self.deliver('caller-side')
        self.clock.advance(LEFT_MS - 1_000)
        self.assertEqual('v1', self.find())

    def test_origin_that_has_ended_is_replaced(self) -> None:
        """Whatever its weight was."""
        self.begin('caller-side', 'v1')
        self.deliver('caller-side')
        self.clock.advance(2 * LEFT_MS)
        self.tell('v2')
        self.assertEqual('v2', self.find())

    # Guards against instances of two builds that misread each other.
    def test_earlier_build_reads_the_origin(self) -> None:
        """It ignores how the origin is known."""
        origin = StreamOrigin(KEY, 'v1', LEFT_MS)
        message = wire_codec.encode_origins([origin], 0)
        encoded = msgspec.msgpack.encode(message.origins[0])
        read = msgspec.msgpack.decode(encoded, type=_EarlierWireOrigin)
        self.assertEqual(
            (KEY, 'v1', LEFT_MS), (read.key, read.version, read.left_ms)
        )


def list_origins(sent: list[messages.Message]) -> list[messages.WireOrigin]:
    """Return all origins of messages."""
    found = []
    for message in sent:
        assert isinstance(message, messages.Origins)
        found.extend(message.origins)
    return found


if __name__ == '__main__':
    unittest.main()
