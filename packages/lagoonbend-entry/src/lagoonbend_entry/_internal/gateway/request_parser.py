"""Parses the bytes of a caller's connection into requests."""

import collections

import httptools

from lagoonbend.clock import Clock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest

HEADER_LINE_EXTRA = 4
"""Bytes of a header line beside its name and value."""
SINGLE_HEADERS = ('host', 'authorization', 'content-length')


class RequestParser:
    """Splits bytes into requests within bounds.

    ``problem_status`` is the answer to bytes that are no request, or one
    beyond the bounds; what came before them is served first.

    :param clock: clock of the instance.
    :param bounds: bounds on heads and bodies.
    """

    def __init__(self, clock: Clock, bounds: CallerBounds) -> None:
        self.requests: collections.deque[IncomingRequest]
        self.requests = collections.deque()
        self.problem_status = 0
        self.is_reading = False
        self.is_head_complete = False
        self.wants_continue = False
        self._clock = clock
        self._bounds = bounds
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._fed_bytes = 0
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._values: dict[str, str] = {}
        self._body = bytearray()
        self._received_ms = 0

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        if self.problem_status:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        if self.is_reading and not self.is_head_complete:
            self._fed_bytes += len(data)
            if self._fed_bytes > 2 * self._bounds.header_bytes:
                self._reject(431)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_reading = True
        self.is_head_complete = False
        self.wants_continue = False
        self._head_bytes = 0
        self._fed_bytes = 0
        self._url = b''
        self._headers = []
        self._values = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the path."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those after the body are left out."""
        if self.is_head_complete:
            return
        self._count_head(len(name) + len(value) + HEADER_LINE_EXTRA)
        text = name.decode('latin-1')
        lower = text.lower()
        if lower in self._values and lower in SINGLE_HEADERS:
            self._reject(400)
        self._headers.append((text, value.decode('latin-1')))
        self._values.setdefault(lower, value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.is_head_complete = True
        self._received_ms = self._clock.now_ms()
        if not self._url.startswith(b'/') or 'host' not in self._values:
            self._reject(400)
        length = self._values.get('content-length', '')
        if length.isdecimal() and int(length) > self._bounds.body_bytes:
            self._reject(413)
        expected = self._values.get('expect', '').lower()
        self.wants_continue = expected == '100-continue'

    def on_body(self, body: bytes) -> None:
        """Take body bytes."""
        if self.problem_status:
            return
        self._body += body
        if len(self._body) > self._bounds.body_bytes:
            self._body = bytearray()
            self._reject(413)

    def on_message_complete(self) -> None:
        """Close the request."""
        self.is_reading = False
        if self.problem_status:
            return
        version = self._parser.get_http_version()
        self.requests.append(
            IncomingRequest(
                self._parser.get_method().decode('latin-1'),
                self._url.decode('latin-1'),
                self._headers,
                self._values,
                bytes(self._body),
                self._parser.should_keep_alive(),
                version != '1.0',
                self._received_ms,
            )
        )
        self._body = bytearray()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._bounds.header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        if not self.problem_status:
            self.problem_status = status
