"""Heads of answers that HTTP doesn't allow.

Guards against callers that get such a head, or a body of which the head tells
another length than the target meant.
"""

import unittest

from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser
from lagoonbend_entry._internal.utils import http_syntax

TOKEN = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
)
TAB = 9
LENGTH = b'Content-Length: 0\r\n'
ODD_HEADS = (
    b'HTTP/0.9 200 OK\r\n' + LENGTH,
    b'HTTP/2.0 200 OK\r\n' + LENGTH,
    b'HTTP/1.1 200 O\x01K\r\n' + LENGTH,
    b'HTTP/1.1 200 O\x00K\r\n' + LENGTH,
    b'HTTP/1.1 200 O\x7fK\r\n' + LENGTH,
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n',
    b'HTTP/1.1 200 OK\r\nA: b\r\n c\r\n' + LENGTH,
    b'HTTP/1.1 200 OK\nA: b\n' + LENGTH,
)


def is_read(head: bytes) -> bool:
    """Return True if a head counts as that of an answer."""
    parser = AnswerParser()
    parser.feed(head + b'\r\n')
    is_complete = bool(parser.answers) and parser.answers[0].is_head_complete
    return is_complete and not parser.is_malformed


class OddHeadsTest(unittest.TestCase):
    """One head each."""

    # Guards against a status that no client knows, such as 000.
    def test_statuses(self) -> None:
        """Those from 100 to 599 are read; 101 changes the protocol."""
        for status in range(1_000):
            head = b'HTTP/1.1 %03d X\r\n' % status + LENGTH
            is_allowed = http_syntax.is_status(status) and status != 101
            self.assertEqual(is_allowed, is_read(head), status)

    # Guards against a header line that a client reads in another way.
    def test_names(self) -> None:
        """A name has no blanks, control characters or separators."""
        for octet in range(256):
            for name in (b'a%bb', b'%bab', b'ab%b'):
                line = name % bytes([octet]) + b': v\r\n'
                if octet == ord(':'):
                    continue
                is_allowed = octet in TOKEN
                head = b'HTTP/1.1 200 OK\r\n' + LENGTH + line
                self.assertEqual(is_allowed, is_read(head), line)

    # Guards against a value that ends a line for some clients.
    def test_values(self) -> None:
        """A value has no control characters but tabs."""
        for octet in range(256):
            line = b'A: v' + bytes([octet]) + b'w\r\n'
            is_allowed = octet == TAB or (octet >= 32 and octet != 127)
            head = b'HTTP/1.1 200 OK\r\n' + LENGTH + line
            self.assertEqual(is_allowed, is_read(head), line)

    # Guards against heads whose body has an end that clients don't agree on.
    def test_versions_phrases_and_framing(self) -> None:
        """None of them is the head of an answer."""
        for head in ODD_HEADS:
            with self.subTest(head):
                self.assertFalse(is_read(head))
