"""Bytes that arrive from peers.

Guards against an instance whose link to a peer ends for good, or whose loops
fail, since a message can't be read or holds values that nobody sends.
"""

import contextlib
import struct
import unittest
from unittest import mock

import gevent
import gevent.server
import gevent.socket
from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
import msgspec

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import PeerError
from lagoonbend.facts import compute_origin_key
from lagoonbend_entry._internal.coordination import fleet
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.peer_link import PeerLink

FUZZED = settings(
    deadline=None,
    max_examples=300,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
NESTED = b'\x95\xa4Ping\x01\x02\xc3\xc2'[:8] + b'\x91' * 100_000
NESTED_EXTRA = b'\x96\xa4Ping\x01\x02\xc3\xc2' + b'\x91' * 100_000 + b'\x00'
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=10,
)
TAGS = [cls.__name__ for cls in messages.AnyMessage.__args__]
LENGTH = struct.Struct('>I')
RECONNECT_S = 0.5


def read_message(content: bytes) -> messages.AnyMessage | None:
    """Return the message that a channel reads from a frame, if any."""
    ours, theirs = gevent.socket.socketpair()
    channel = message_channel.MessageChannel(ours)
    try:
        theirs.sendall(LENGTH.pack(len(content)) + content)
        theirs.shutdown(gevent.socket.SHUT_WR)
        return next(channel.receive(), None)
    finally:
        channel.close()
        theirs.close()


class FuzzedPeersTest(unittest.TestCase):
    """Frames with any content, and messages with any values."""

    def check(self, content: bytes) -> None:
        """Check that a frame is read, or rejected by PeerError."""
        with contextlib.suppress(PeerError):
            message = read_message(content)
            # What was read can be sent on.
            msgspec.msgpack.encode(message)
            if isinstance(message, messages.Pong | messages.Ask):
                units = getattr(message, 'cost_units', 0.0)
                used = getattr(message, 'used', {}).values()
                for value in (units, *used):
                    self.assertLess(abs(value), 2**53)
            match message:
                case messages.Decision():
                    wire_codec.decode_decision('peer', message)
                case messages.Ask():
                    wire_codec.decode_request('peer', message)
                case messages.Done():
                    wire_codec.decode_outcome(message.end)

    @FUZZED
    @given(strategies.binary())
    @example(NESTED)
    @example(NESTED_EXTRA)
    def test_any_bytes(self, content: bytes) -> None:
        """A message, or PeerError."""
        self.check(content)

    @FUZZED
    @given(
        strategies.sampled_from(TAGS), strategies.lists(VALUES, max_size=18)
    )
    @example('Decision', ['c', 't', 5, 'no such denial', 1, 1, 1])
    @example('Done', ['c', 'p', 't', 'd', 'no such outcome', 1])
    @example('Ping', [2**64 - 1, 0, True])
    @example(
        'Ask',
        ['c', 'p', 'd', 0, 0, 'k', float('nan'), 0, 0, 0, [], 0, 0, []],
    )
    def test_any_values(self, tag: str, values: list[object]) -> None:
        """The same for messages of each kind."""
        self.check(msgspec.msgpack.encode([tag, *values]))

    # Guards against a link that breaks with each stream whose origin is
    # shared, since bounds on numbers exclude a hash.
    @FUZZED
    @given(strategies.text(), strategies.text(), strategies.text())
    def test_origins_of_streams(
        self, customer: str, service: str, attempt: str
    ) -> None:
        """Messages with any key are read."""
        key = compute_origin_key(customer, service, attempt)
        origin = messages.WireOrigin(key, 'v1', 1_000)
        for message in (
            messages.Origins([origin]),
            messages.OriginWanted(key, service),
            messages.OriginFound(key, [origin], ''),
        ):
            content = msgspec.msgpack.encode(message)
            self.assertEqual(message, read_message(content))

    # Guards against a peer that counts as alive for ever.
    @FUZZED
    @given(
        strategies.integers(-(2**50), 2**50),
        strategies.integers(-(2**50), 2**50),
    )
    def test_any_times_of_a_heartbeat(self, sent_ms: int, age_ms: int) -> None:
        """No heartbeat is from the future."""
        clock = PausedClock(1_000_000)
        known = fleet.Fleet(
            'own:1', 'd0', [f's{n}:1' for n in range(20)], clock
        )
        known.record_pong(
            messages.Pong(
                sent_ms,
                'peer:1',
                'd0',
                'x',
                9_000,
                False,
                [],
                [messages.WireMember('far:1', 'd0', age_ms, 9_000, False)],
                0,
                None,
                {},
            )
        )
        for heartbeat in known.list_alive():
            self.assertLessEqual(heartbeat.last_seen_ms, clock.now_ms())


class BrokenLinkTest(unittest.TestCase):
    """A link to a peer that sends what this instance can't handle."""

    def connect(self, on_message: mock.Mock, frame: bytes) -> int:
        """Return how often the link is opened within a while."""
        greetings: list[gevent.socket.socket] = []

        def answer(sock: gevent.socket.socket, unused: object) -> None:
            greetings.append(sock)
            sock.sendall(frame)

        server = gevent.server.StreamServer(
            ('127.0.0.1', 0),
            answer,
        )
        server.start()
        link = PeerLink(
            f'127.0.0.1:{server.server_port}',
            messages.Greeting(1, 'own:1', 'd0'),
            PausedClock(1_000),
            on_message=on_message,
            on_open=mock.Mock(),
            on_lost=mock.Mock(),
            on_refused=mock.Mock(),
            on_unreachable=mock.Mock(),
        )
        greenlet = gevent.spawn(link.run)
        gevent.sleep(RECONNECT_S)
        link.is_wanted = False
        link.close()
        server.stop()
        greenlet.join(1.0)
        return len(greetings)

    # Guards against a link that is never opened again after one message.
    def test_link_is_opened_again_after_an_error(self) -> None:
        """An unexpected error, and bytes that are no message."""
        sound = msgspec.msgpack.encode(messages.Queued('call'))
        handler = mock.Mock(side_effect=ValueError('unexpected'))
        frames = (sound, b'\xff', NESTED_EXTRA)
        for content in frames:
            frame = LENGTH.pack(len(content)) + content
            with self.subTest(content=content[:8]):
                self.assertGreaterEqual(self.connect(handler, frame), 2)
