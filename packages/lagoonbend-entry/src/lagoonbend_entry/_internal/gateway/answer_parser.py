"""Parses the bytes received from a target into answers."""

import collections

import httptools

from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.utils import http_syntax

MAX_HEAD_BYTES = 32_768
"""Limit on a head with the interim ones before it, and on framing and trailers
without body. The platform's pages set none; many heads at once must fit into
the 128 MB of an instance."""
MAX_HEAD_LINES = 256
"""Limit on the lines of a head with the interim ones before it, and on those
of trailers; answers have some tens. Short lines cost more time than their
bytes suggest."""
STATUSES_WITHOUT_BODY = (204, 304)
HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: colon, space and CRLF."""
MAX_UNREAD_ANSWERS = 16
"""Limit on the answers that one read may add; a request has one final answer
and a few interim ones."""


class TooManyLinesError(Exception):
    """A head or trailer has more lines than any answer."""


class UnusableHeadError(Exception):
    """A head is none that HTTP allows."""


class AnswerParser:
    """Parses the answers on one connection, and detects malformed bytes.

    A target may send a second answer to an earlier request, or bytes that
    are no HTTP answer, also without end. Answers before such bytes stay valid.
    ``error`` says what is wrong with them, if that is known.
    """

    def __init__(self) -> None:
        self.answers: collections.deque[Answer] = collections.deque()
        self.is_malformed = False
        self.error = ''
        self._parser = httptools.HttpResponseParser(self)
        self._current: Answer | None = None
        self._has_framing = False
        self._body_bytes = 0
        self._head_bytes = 0
        self._line_count = 0
        self._idle_bytes = 0
        self._has_progressed = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; set ``is_malformed`` if they are no HTTP answer.

        That is so too if they bring neither a final head nor a part of a body
        within ``MAX_HEAD_BYTES``.
        """
        if self.is_malformed:
            return
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True
        self._idle_bytes += len(data)
        if self._has_progressed:
            self._idle_bytes = 0
        if self._idle_bytes > MAX_HEAD_BYTES:
            self.is_malformed = True

    def on_connection_closed(self, *, was_request_sent: bool = True) -> None:
        """Complete an answer whose end is the end of the connection.

        :param was_request_sent: False if a part of the request wasn't. A
            target that ends meanwhile leaves the same bytes, so that a success
            counts as cut off.
        """
        answer = self._current
        if answer is None or not answer.ends_at_close or self.is_malformed:
            return
        answer.is_complete = was_request_sent or not answer.is_success

    def on_message_begin(self) -> None:
        """Begin a new answer."""
        if len(self.answers) >= MAX_UNREAD_ANSWERS:
            self._current = None
            self.is_malformed = True
            return
        self._head_bytes = 0
        self._body_bytes = 0
        self._current = Answer()
        self._has_framing = False
        self.answers.append(self._current)

    def on_status(self, status: bytes) -> None:
        """Store the reason phrase."""
        if self._current is not None:
            self._current.reason = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored.

        :raises TooManyLinesError: to end the parsing of bytes without end.
        """
        self._line_count += 1
        if self._line_count > MAX_HEAD_LINES:
            raise TooManyLinesError
        answer = self._current
        if answer is None or answer.is_head_complete:
            return
        self._head_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._current = None
            self.is_malformed = True
            return
        name_text = name.decode('latin-1')
        lower_name = name_text.lower()
        content = value.decode('latin-1')
        answer.headers.append((name_text, content))
        answer.header_map.setdefault(lower_name, content)
        if lower_name in ('content-length', 'transfer-encoding'):
            self._has_framing = True

    def on_headers_complete(self) -> None:
        """Complete the head.

        :raises UnusableHeadError: to end the parsing of what is no answer.
        """
        answer = self._current
        if answer is None:
            return
        status = self._parser.get_status_code()
        self.error = http_syntax.find_head_error(
            self._parser.get_http_version(),
            status,
            answer.reason,
            answer.header_map.get('transfer-encoding'),
        )
        if self.error:
            raise UnusableHeadError(self.error)
        answer.status = status
        answer.is_head_complete = True
        if not answer.is_interim:
            self._line_count = 0
        self._has_progressed |= not answer.is_interim
        answer.ends_at_close = has_body(answer) and not self._has_framing
        answer.keeps_connection = (
            self._parser.should_keep_alive() and not answer.ends_at_close
        )

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        if self._current is not None:
            self._current.chunks.append(body)
            self._body_bytes += len(body)
            self._has_progressed = True

    def on_message_complete(self) -> None:
        """Complete the answer, if its body is as long as its head says."""
        answer = self._current
        if answer is None:
            return
        length = answer.header_map.get('content-length')
        if (
            length is not None
            and has_body(answer)
            and 'transfer-encoding' not in answer.header_map
            and int(length) != self._body_bytes
        ):
            self._current = None
            self.is_malformed = True
            return
        answer.is_complete = True


def has_body(answer: Answer) -> bool:
    """Return True if the status of an answer allows a body."""
    return not answer.is_interim and answer.status not in STATUSES_WITHOUT_BODY
