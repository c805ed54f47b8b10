"""Parses the bytes received from a caller into requests."""

import collections

import httptools

from lagoonbend.clock import Clock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest

HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: colon, space and CRLF."""
UNREPEATABLE_HEADERS = ('host', 'authorization', 'content-length')
FRAMING_HEADERS = ('connection', 'content-length', 'transfer-encoding')


class RequestParser:
    """Parses requests and enforces the bounds on their size.

    ``error_status`` is the status to send for a malformed request or one
    beyond the bounds, 0 if there is none. Complete requests before it are
    served first. ``bounds`` may be replaced between two calls of ``feed``.

    An offer to change the protocol is ignored (RFC 9110, section 7.8). The
    library ends a message that makes one with its head.

    :param clock: clock of the instance.
    :param bounds: maximum sizes of heads and bodies.
    """

    def __init__(self, clock: Clock, bounds: CallerBounds) -> None:
        self.requests: collections.deque[IncomingRequest]
        self.requests = collections.deque()
        self.error_status = 0
        self.is_reading = False
        self.is_head_complete = False
        self.wants_continue = False
        self._clock = clock
        self.bounds = bounds
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._incomplete_head_bytes = 0
        self._idle_bytes = 0
        self._has_progressed = False
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._header_map: dict[str, str] = {}
        self._body = bytearray()
        self._received_ms = 0
        self._has_offer = False
        self._is_replaying = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Those that bring no part of a request, such as empty lines, framing
        and trailers, have the bounds of a head.
        """
        if self.error_status:
            return
        self._has_progressed = False
        self._parse(data)
        if self.is_reading and not self.is_head_complete:
            self._incomplete_head_bytes += len(data)
            if self._incomplete_head_bytes > 2 * self.bounds.header_bytes:
                self._reject(431)
        self._idle_bytes += len(data)
        if self._has_progressed:
            self._idle_bytes = 0
        if self._idle_bytes > 2 * self.bounds.header_bytes:
            self._reject(431)

    def _parse(self, data: bytes) -> None:
        while not self.error_status:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                self._begin_body()
            except httptools.HttpParserError:
                self._reject(400)

    def _begin_body(self) -> None:
        """Let a new parser go on behind a head that has made an offer."""
        lines = [
            f'{self._parser.get_method().decode()} / '
            f'HTTP/{self._parser.get_http_version()}',
            *(
                f'{name}: {value}'
                for name, value in self._headers
                if name.lower() in FRAMING_HEADERS
            ),
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self._parser = httptools.HttpRequestParser(self)
        self._has_offer = False
        self._is_replaying = True
        self._parse(head.encode('latin-1'))
        self._is_replaying = False

    def on_message_begin(self) -> None:
        """Begin a new request."""
        if self._is_replaying:
            return
        self.is_reading = True
        self.is_head_complete = False
        self.wants_continue = False
        self._head_bytes = 0
        self._incomplete_head_bytes = 0
        self._url = b''
        self._headers = []
        self._header_map = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Store a piece of the path."""
        if self._is_replaying:
            return
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self.is_head_complete or self._is_replaying:
            return
        self._count_head_bytes(
            len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        )
        name_text = name.decode('latin-1')
        lower_name = name_text.lower()
        if (
            lower_name in self._header_map
            and lower_name in UNREPEATABLE_HEADERS
        ):
            self._reject(400)
        self._headers.append((name_text, value.decode('latin-1')))
        self._header_map.setdefault(lower_name, value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Validate the head."""
        if self._is_replaying:
            return
        self._has_offer = self._parser.should_upgrade()
        if self._parser.get_method() == b'CONNECT':
            self._reject(400)
        self.is_head_complete = True
        self._has_progressed = True
        self._received_ms = self._clock.now_ms()
        if not self._url.startswith(b'/') or 'host' not in self._header_map:
            self._reject(400)
        length = self._header_map.get('content-length', '')
        if length.isdecimal() and int(length) > self.bounds.body_bytes:
            self._reject(413)
        expected = self._header_map.get('expect', '').lower()
        self.wants_continue = expected == '100-continue'

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        if self.error_status:
            return
        self._has_progressed = True
        self._body += body
        if len(self._body) > self.bounds.body_bytes:
            self._body = bytearray()
            self._reject(413)

    def on_message_complete(self) -> None:
        """Complete the request, unless its body is still to come."""
        if self._has_offer:
            return
        self._has_progressed = True
        self.is_reading = False
        if not self._has_stated_length():
            self._reject(400)
        if self.error_status:
            return
        version = self._parser.get_http_version()
        self.requests.append(
            IncomingRequest(
                self._parser.get_method().decode('latin-1'),
                self._url.decode('latin-1'),
                self._headers,
                self._header_map,
                bytes(self._body),
                self._parser.should_keep_alive(),
                version != '1.0',
                self._received_ms,
            )
        )
        self._body = bytearray()

    def _has_stated_length(self) -> bool:
        """Return True if the body is as long as the head says."""
        if 'transfer-encoding' in self._header_map:
            return True
        length = self._header_map.get('content-length', '0').strip()
        return length.isdecimal() and int(length) == len(self._body)

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.bounds.header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        if not self.error_status:
            self.error_status = status
