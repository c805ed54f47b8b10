"""Loops that always have data to handle.

Guards against an instance that answers nothing while one of its loops goes on
with what one connection sends.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import socket
import threading
import time
import unittest

import gevent
import gevent.socket

from lagoonbend.clock import PausedClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.event_splitter import split_events
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.utils.loop_turns import LoopTurns

PLAY_S = 0.5
MAX_HELD_S = 0.1
"""Processor time of the test between two turns of the event loop; a tenth of
it is what one greenlet may take."""
ITEM_S = 0.0001
BOUNDS = CallerBounds(32_768, 1_048_576, 5_000, 5_000)
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


class Reader:
    """A loop that reads from a socket, and bytes that keep it busy.

    :param head: bytes that are sent first.
    :param piece: bytes that are sent again and again.
    :param read: reads until it is stopped.
    """

    def __init__(
        self,
        head: bytes,
        piece: bytes,
        read: Callable[[gevent.socket.socket], object],
    ) -> None:
        self.head = head
        self.piece = piece
        self.read = read


def read_answer(sock: gevent.socket.socket) -> Iterator[bytes]:
    """Yield the body of an answer."""
    connection = target_connection.TargetConnection(sock, ('127.0.0.1', 1))
    answer = connection.read_head(1_000)
    return connection.read_body(answer, 1_000)


def read_body(sock: gevent.socket.socket) -> None:
    """Read a body."""
    for _ in read_answer(sock):
        time.sleep(0)


def read_events(sock: gevent.socket.socket) -> None:
    """Read the events of a stream, which takes some time each."""
    turns = LoopTurns()
    for _ in split_events(read_answer(sock)):
        turns.begin_item()
        spend(ITEM_S)


def read_messages(sock: gevent.socket.socket) -> None:
    """Read the messages of a peer, which take some time each."""
    for _ in message_channel.MessageChannel(sock).receive():
        spend(ITEM_S)


def serve_requests(sock: gevent.socket.socket) -> None:
    """Serve the requests of a caller, which take some time each."""

    def serve(request: IncomingRequest, reply: ReplyWriter) -> None:
        spend(ITEM_S)
        reply.is_complete = True

    caller_connection.CallerConnection(
        sock, PausedClock(0), lambda: BOUNDS, serve, lambda: False
    ).run()


def spend(time_s: float) -> None:
    """Use the processor."""
    end_s = time.thread_time() + time_s
    while time.thread_time() < end_s:
        pass


def encode_chunk(content: bytes) -> bytes:
    """Return content as a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def encode_message() -> bytes:
    """Return a message between instances."""
    pair = gevent.socket.socketpair()
    channel = message_channel.MessageChannel(pair[0])
    channel.send(messages.CrashReports([], []))
    channel.wait_until_sent(1_000)
    content: bytes = pair[1].recv(65_536)
    for sock in pair:
        sock.close()
    return content


def list_readers() -> dict[str, Reader]:
    """Return the loops by name."""
    line_feeds = encode_chunk(b'\n' * 16_384)
    return {
        'body in chunks of one byte': Reader(
            HEAD, encode_chunk(b'x') * 10_000, read_body
        ),
        'blank lines': Reader(HEAD, line_feeds, read_body),
        'comments': Reader(HEAD, encode_chunk(b':\n\n' * 10_000), read_events),
        'comments with CRLF': Reader(
            HEAD, encode_chunk(b':\r\n\r\n' * 10_000), read_events
        ),
        'events in chunks of one byte': Reader(
            HEAD,
            b''.join(map(encode_chunk, (b':', b'\n', b'\n'))) * 3_000,
            read_events,
        ),
        'requests of a caller': Reader(
            b'', b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * 1_000, serve_requests
        ),
        'messages of a peer': Reader(
            b'', encode_message() * 1_000, read_messages
        ),
    }


class LoopTurnsTest(unittest.TestCase):
    """Loops on a socket to which a thread writes as fast as it can."""

    def measure_held_s(self, reader: Reader) -> tuple[float, int]:
        """Return the longest time without a turn, and the bytes sent."""
        ours, theirs = socket.socketpair()
        sock = gevent.socket.socket(fileno=ours.detach())
        sent = itertools.count()
        is_over = threading.Event()

        def write() -> None:
            theirs.settimeout(0.1)
            data = reader.head
            while not is_over.is_set():
                try:
                    theirs.sendall(data)
                except TimeoutError:
                    continue
                except OSError:
                    return
                next(sent)
                data = reader.piece

        thread = threading.Thread(target=write, daemon=True)
        thread.start()
        greenlet = gevent.spawn(reader.read, sock)
        longest_s = 0.0
        end_s = time.monotonic() + PLAY_S
        turned_s = time.thread_time()
        while time.monotonic() < end_s:
            gevent.sleep(0.001)
            longest_s = max(longest_s, time.thread_time() - turned_s)
            turned_s = time.thread_time()
        is_over.set()
        self.assertFalse(greenlet.ready())
        greenlet.kill()
        sock.close()
        theirs.close()
        thread.join()
        return longest_s, next(sent)

    # Guards against loops that leave the event loop no turn as long as there
    # is data, so that no other call, timer or heartbeat gets one.
    def test_loops_give_way(self) -> None:
        """Each goes on for milliseconds at a time."""
        for name, reader in list_readers().items():
            with self.subTest(name):
                held_s, sent_count = self.measure_held_s(reader)
                self.assertGreater(sent_count, 1)
                self.assertLess(held_s, MAX_HELD_S)


class BlankLinesTest(unittest.TestCase):
    """Blank lines in a stream."""

    # Guards against a write to the caller for each blank line.
    def test_blank_lines_are_no_events(self) -> None:
        """They go with the event behind them, and nothing is lost."""
        chunks = [b'\n\n\nid: 1\n\n', b'\r\n\r', b'\n\n: c\r\n', b'\r\n\n']
        events = list(split_events(chunks))
        self.assertEqual(b''.join(chunks), b''.join(events))
        self.assertEqual(3, len(events))

    # Guards against blank lines that cost more the more there are.
    def test_blank_lines_one_by_one_cost_little(self) -> None:
        """Those that are known to be blank are not read again."""
        start_s = time.thread_time()
        list(split_events([b'\n'] * 200_000))
        self.assertLess(time.thread_time() - start_s, 2.0)
