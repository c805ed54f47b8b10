"""Requests that offer to change the protocol of their connection.

Guards against a request that runs without its body, or with another one: an
offer may be ignored (RFC 9110, section 7.8), and its request is a usual one.
"""

import itertools
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser
from lagoonbend_entry.testing import RequestParser

BOUNDS = CallerBounds(8_192, 1_000, 1_000, 5_000)
OFFERS = (
    b'Connection: Upgrade\r\nUpgrade: h2c\r\n',
    b'connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMA\r\n',
    b'Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n',
    b'Upgrade: TLS/1.0\r\nUpgrade: other/2\r\nConnection: UPGRADE\r\n',
    b'Connection: Upgrade\r\n',
    b'Upgrade: h2c\r\n',
)
BODIES = (
    (b'', b''),
    (b'Content-Length: 0\r\n\r\n', b''),
    (b'Content-Length: 4\r\n\r\nbody', b'body'),
    (b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', b'body'),
    (
        b'Transfer-Encoding: chunked\r\n\r\n'
        b'3\r\nbod\r\n1\r\ny\r\n0\r\nX: y\r\n\r\n',
        b'body',
    ),
)
NEXT = b'POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nnext'


class OfferedUpgradesTest(unittest.TestCase):
    """An offer in a request, with each framing of a body."""

    def parse(self, pieces: list[bytes]) -> RequestParser:
        """Return a parser that has been fed."""
        parser = RequestParser(PausedClock(), BOUNDS)
        for piece in pieces:
            parser.feed(piece)
        return parser

    def test_body_belongs_to_its_request(self) -> None:
        """The next request on the connection is another one."""
        for offer, (end, body) in itertools.product(OFFERS, BODIES):
            head = b'POST /x HTTP/1.1\r\nHost: h\r\n' + offer
            data = head + (end or b'\r\n') + NEXT
            bytewise = [data[i : i + 1] for i in range(len(data))]
            halves = [data[:-60], data[-60:]]
            for pieces in ([data], halves, bytewise):
                with self.subTest(data=data, count=len(pieces)):
                    parser = self.parse(pieces)
                    self.assertEqual(0, parser.error_status)
                    first, second = parser.requests
                    self.assertEqual(
                        ('POST', '/x', body),
                        (first.method, first.path, first.body),
                    )
                    self.assertTrue(first.keeps_connection)
                    names = [name.lower() for name, _ in first.headers]
                    self.assertEqual(1, names.count('host'))
                    self.assertEqual(
                        ('/next', b'next'), (second.path, second.body)
                    )

    def test_caller_that_closes_is_believed(self) -> None:
        """The offer is ignored, and not what stands beside it."""
        data = (
            b'GET /x HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\n'
            b'Connection: upgrade, close\r\n\r\n'
        )
        (request,) = self.parse([data]).requests
        self.assertFalse(request.keeps_connection)

    def test_bounds_hold_for_such_a_request(self) -> None:
        """A body beyond the bounds is rejected."""
        for framing in (
            b'Content-Length: 1001\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\n3e9\r\n' + 1001 * b'x',
        ):
            parser = self.parse(
                [b'POST /x HTTP/1.1\r\nHost: h\r\n' + OFFERS[0] + framing]
            )
            self.assertEqual(413, parser.error_status)
            self.assertFalse(parser.requests)

    def test_tunnel_is_rejected(self) -> None:
        """Nothing of it is taken for a request."""
        for path in (b'h:80', b'/x'):
            parser = self.parse(
                [b'CONNECT ' + path + b' HTTP/1.1\r\nHost: h\r\n\r\n' + NEXT]
            )
            self.assertEqual(400, parser.error_status)
            self.assertFalse(parser.requests)


class BodyLengthsTest(unittest.TestCase):
    """A library that ends a message before or after its body does.

    Guards against a body that is sent on though its length isn't the one that
    its head states, whatever the reason.
    """

    def test_request_with_another_length_is_rejected(self) -> None:
        """It doesn't run."""
        for length, body in (('4', b'bod'), ('0', b'b'), ('', b'b')):
            parser = RequestParser(PausedClock(), BOUNDS)
            parser.on_message_begin()
            parser.on_url(b'/x')
            parser.on_header(b'Host', b'h')
            if length:
                parser.on_header(b'Content-Length', length.encode())
            parser.on_headers_complete()
            parser.on_body(body)
            parser.on_message_complete()
            self.assertEqual(400, parser.error_status)
            self.assertFalse(parser.requests)

    def test_answer_with_another_length_is_malformed(self) -> None:
        """It is not passed on."""
        for body in (b'bod', b'body2'):
            parser = AnswerParser()
            parser.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')
            parser.on_body(body)
            parser.on_message_complete()
            self.assertTrue(parser.is_malformed)
            self.assertFalse(parser.answers[0].is_complete)

    def test_answers_without_a_body_may_state_a_length(self) -> None:
        """It is that of the body that they would have."""
        parser = AnswerParser()
        parser.feed(b'HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n')
        self.assertFalse(parser.is_malformed)
        self.assertTrue(parser.answers[0].is_complete)


if __name__ == '__main__':
    unittest.main()
