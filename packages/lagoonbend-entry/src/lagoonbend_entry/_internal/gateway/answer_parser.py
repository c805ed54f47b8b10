"""Parses the bytes of a target's connection into answers."""

import collections

import httptools

from lagoonbend_entry._internal.gateway.answer import Answer


class AnswerParser:
    """Splits bytes into answers; one connection may bring several.

    A target may send a second answer to an earlier request, or bytes that
    are no answer. Answers before such bytes stay valid.
    """

    def __init__(self) -> None:
        self.answers: collections.deque[Answer] = collections.deque()
        self.is_broken = False
        self._parser = httptools.HttpResponseParser(self)
        self._current: Answer | None = None
        self._has_length = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; sets ``is_broken`` if they are no answer."""
        if self.is_broken:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_broken = True

    def end(self) -> None:
        """Note that the target has closed the connection in good order."""
        answer = self._current
        if answer and answer.ends_with_connection and not self.is_broken:
            answer.is_complete = True

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._current = Answer()
        self._has_length = False
        self.answers.append(self._current)

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase."""
        if self._current is not None:
            self._current.reason = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        answer = self._current
        if answer is None or answer.is_head_complete:
            return
        text = name.decode('latin-1')
        lower = text.lower()
        content = value.decode('latin-1')
        answer.headers.append((text, content))
        answer.header_map.setdefault(lower, content)
        if lower in ('content-length', 'transfer-encoding'):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Close the head."""
        answer = self._current
        if answer is None:
            return
        answer.status = self._parser.get_status_code()
        answer.is_head_complete = True
        has_body = not answer.is_interim and answer.status not in (204, 304)
        answer.ends_with_connection = has_body and not self._has_length
        answer.keeps_connection = (
            self._parser.should_keep_alive()
            and not answer.ends_with_connection
        )

    def on_body(self, body: bytes) -> None:
        """Take body bytes."""
        if self._current is not None:
            self._current.chunks.append(body)

    def on_message_complete(self) -> None:
        """Close the answer."""
        if self._current is not None:
            self._current.is_complete = True
