"""Bytes without end from a caller.

Guards against memory that grows with them, and against a connection that is
read for ever.
"""

import unittest

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry.testing import RequestParser

BOUNDS = CallerBounds(8_192, 100_000, 1_000, 5_000)
HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
MAX_PIECES = 1_000


class EndlessCallerTest(unittest.TestCase):
    """One parser of a caller's bytes."""

    def check_given_up(self, first: bytes, piece: bytes) -> None:
        """Check that the parser gives up near the bound of a head."""
        parser = RequestParser(RuntimeClock(), BOUNDS)
        parser.feed(first)
        pieces = 0
        while not parser.error_status and pieces < MAX_PIECES:
            parser.feed(piece)
            pieces += 1
        self.assertEqual(431, parser.error_status)
        self.assertLess(pieces * len(piece), 3 * BOUNDS.header_bytes)

    # Guards against trailers without end; the parser keeps their bytes.
    def test_trailer(self) -> None:
        """The request is refused."""
        self.check_given_up(HEAD + b'0\r\nX: ', b'b' * 1_000)

    # Guards against framing without end.
    def test_chunk_extension(self) -> None:
        """The request is refused."""
        self.check_given_up(HEAD + b'1;a=', b'b' * 1_000)

    # Guards against a connection that never counts as idle.
    def test_empty_lines(self) -> None:
        """The connection ends as for a malformed request."""
        self.check_given_up(b'', b'\r\n' * 500)

    # Guards against a sound request that counts as endless.
    def test_body_in_small_chunks(self) -> None:
        """A body whose framing exceeds the bound is read to its end."""
        parser = RequestParser(RuntimeClock(), BOUNDS)
        parser.feed(HEAD)
        for _ in range(10_000):
            parser.feed(b'1\r\nx\r\n')
        parser.feed(b'0\r\n\r\n')
        self.assertEqual(b'x' * 10_000, parser.requests[0].body)


if __name__ == '__main__':
    unittest.main()
