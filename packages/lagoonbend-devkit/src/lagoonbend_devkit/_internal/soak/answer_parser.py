"""Parses the answers that a caller receives on one connection."""

import httptools

from lagoonbend_devkit._internal.soak.received_answer import ReceivedAnswer


class AnswerParser:
    """Parses bytes into answers; only the last one may be incomplete."""

    def __init__(self) -> None:
        self.answers: list[ReceivedAnswer] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises httptools.HttpParserError: if they are no HTTP answer.
        """
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a new answer."""
        self.answers.append(ReceivedAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        lower_name = name.decode('latin-1').lower()
        self.answers[-1].headers[lower_name] = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Store the status."""
        self.answers[-1].status = self._parser.get_status_code()
        self.answers[-1].keeps_connection = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        self.answers[-1].body += body

    def on_message_complete(self) -> None:
        """Complete the answer."""
        self.answers[-1].is_complete = True
