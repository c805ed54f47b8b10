"""Bytes that a target sends without end.

Guards against memory that grows with them, and against one such target that
stops the other calls of an instance.
"""

from collections.abc import Iterator
import unittest
from unittest import mock

import gevent
import httptools

from lagoonbend_entry._internal.gateway import answer_parser
from lagoonbend_entry._internal.gateway import event_splitter
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.target_error import BadAnswerError

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
MAX_PIECES = 1_000
"""Pieces of 64 kB; far more than any limit."""


class EndlessHeadTest(unittest.TestCase):
    """One parser and a head that doesn't end."""

    def feed(self, first: bytes, piece: bytes) -> int:
        """Return the bytes read until the parser gives up."""
        parser = answer_parser.AnswerParser()
        parser.feed(first)
        pieces = 0
        while not parser.is_malformed and pieces < MAX_PIECES:
            parser.feed(piece)
            pieces += 1
        self.assertLess(pieces, MAX_PIECES)
        return len(first) + pieces * len(piece)

    # Guards against a head whose lines never end.
    def test_head_of_many_lines(self) -> None:
        """The head is given up at its limit."""
        read = self.feed(b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 1_000)
        self.assertLess(read, 2 * answer_parser.MAX_HEAD_BYTES)

    # Guards against short lines that take up the processor, up to the limit
    # of a head at each of many targets.
    def test_lines_of_a_head_are_bounded(self) -> None:
        """No line beyond the limit is looked at, also in trailers."""
        ok = b'HTTP/1.1 200 OK\r\n'
        body = ok + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
        for first in (ok, body, b'HTTP/1.1 100 Continue\r\n'):
            parser = answer_parser.AnswerParser()
            with mock.patch.object(
                parser, 'on_header', wraps=parser.on_header
            ) as on_header:
                # The methods are looked up when the parser is created.
                parser._parser = httptools.HttpResponseParser(parser)
                parser.feed(first)
                parser.feed(b'a:b\r\n' * 6_000)
            self.assertTrue(parser.is_malformed)
            self.assertLess(
                on_header.call_count, 2 * answer_parser.MAX_HEAD_LINES
            )

    # Guards against a limit that counts the lines of several answers.
    def test_lines_of_sound_answers(self) -> None:
        """Each head may have as many."""
        parser = answer_parser.AnswerParser()
        lines = b'a:b\r\n' * (answer_parser.MAX_HEAD_LINES - 2)
        for _ in range(3):
            parser.feed(HEAD[:-2] + lines + b'\r\nfirst')
        self.assertFalse(parser.is_malformed)
        self.assertEqual(3, len(parser.answers))

    # Guards against a header value that never ends.
    def test_head_of_one_line(self) -> None:
        """The head is given up at its limit."""
        read = self.feed(b'HTTP/1.1 200 OK\r\nX-A: ', b'b' * 8_000)
        self.assertLess(read, 2 * answer_parser.MAX_HEAD_BYTES)

    # Guards against interim answers that never end.
    def test_interim_heads(self) -> None:
        """The answers are given up at the limit of a head."""
        read = self.feed(b'', b'HTTP/1.1 100 Continue\r\n\r\n')
        self.assertLess(read, 2 * answer_parser.MAX_HEAD_BYTES)

    # Guards against trailers that never end; the parser keeps their bytes.
    def test_trailer(self) -> None:
        """The answer is given up at the limit of a head."""
        read = self.feed(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ',
            b'b' * 8_000,
        )
        self.assertLess(read, 2 * answer_parser.MAX_HEAD_BYTES)

    # Guards against thousands of small answers in one read.
    def test_answers_in_one_read(self) -> None:
        """The first answers stay valid; the rest is not kept."""
        parser = answer_parser.AnswerParser()
        parser.feed((HEAD + b'first') * 1_000)
        self.assertTrue(parser.is_malformed)
        self.assertEqual(answer_parser.MAX_UNREAD_ANSWERS, len(parser.answers))
        self.assertEqual(b'first', parser.answers[0].chunks[0])

    # Guards against a limit that counts a sound body as a head.
    def test_long_body(self) -> None:
        """A body beyond the limit of a head is whole."""
        parser = answer_parser.AnswerParser()
        parser.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 640000\r\n\r\n')
        for _ in range(10):
            parser.feed(b'b' * 64_000)
        self.assertFalse(parser.is_malformed)
        self.assertTrue(parser.answers[0].is_complete)


class EndlessEventTest(unittest.TestCase):
    """A stream and an event that doesn't end."""

    # Guards against an event that is kept until the deadline.
    def test_event_without_end(self) -> None:
        """The events before it are passed on; then the stream has failed."""
        read_bytes = 0

        def send() -> Iterator[bytes]:
            nonlocal read_bytes
            yield b'id: 1\ndata: x\n\n'
            for _ in range(100):
                read_bytes += 8_000
                yield b'b' * 8_000

        events = event_splitter.split_events(send())
        self.assertEqual(b'id: 1\ndata: x\n\n', next(events))
        with self.assertRaises(BadAnswerError):
            next(events)
        self.assertLessEqual(
            read_bytes, event_splitter.MAX_EVENT_BYTES + 8_000
        )

    # Guards against an event that is passed over the limit in one chunk.
    def test_complete_event_beyond_the_limit(self) -> None:
        """The stream has failed."""
        event = b'b' * event_splitter.MAX_EVENT_BYTES + b'\n\n'
        with self.assertRaises(BadAnswerError):
            list(event_splitter.split_events([event]))

    # Guards against an end that is missed or misplaced between two chunks.
    def test_ends_of_events(self) -> None:
        """Events are the same for chunks of each size."""
        events = [
            b'id: 1\ndata: x\n\n',
            b'id: 2\r\ndata: y\r\n\r\n',
            b'\n\ndata: z\r\n\r\n',
            b'data: w\n\n',
            b'rest\r\n\r',
        ]
        body = b''.join(events)
        for size in range(1, len(body) + 1):
            with self.subTest(size=size):
                chunks = [
                    body[start : start + size]
                    for start in range(0, len(body), size)
                ]
                self.assertEqual(
                    events, list(event_splitter.split_events(chunks))
                )


class ReadySocket:
    """Always has data, so that a read doesn't wait.

    :param head: read first.
    :param piece: read from then on.
    """

    def __init__(self, head: bytes, piece: bytes) -> None:
        self.reads = 0
        self._head = head
        self._piece = piece

    def settimeout(self, timeout_s: float) -> None:
        """Ignore the time-out."""

    def recv(self, size: int) -> bytes:
        """Return the next bytes."""
        self.reads += 1
        return self._head if self.reads == 1 else self._piece


class FairReadTest(unittest.TestCase):
    """A target whose bytes are always there."""

    # Guards against one answer that stops all other calls of the instance.
    def test_other_greenlets_run(self) -> None:
        """Another greenlet runs every few reads."""
        sock = ReadySocket(
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n', b'b' * 100
        )
        connection = target_connection.TargetConnection(sock, ('ip', 1))
        turns = 0

        def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                gevent.sleep(0)

        greenlet = gevent.spawn(count_turns)
        answer = connection.read_head(1_000)
        for _ in connection.read_body(answer, 1_000):
            if sock.reads == 400:
                break
        greenlet.kill()
        self.assertGreaterEqual(turns, 90)


if __name__ == '__main__':
    unittest.main()
