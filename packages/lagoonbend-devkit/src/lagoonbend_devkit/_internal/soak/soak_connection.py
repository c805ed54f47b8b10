"""Connection of a caller."""

from collections import deque
import time

import gevent
import gevent.socket
import httptools

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import NO_ANSWER
from lagoonbend_devkit._internal.fleet.ports import LOOPBACK
from lagoonbend_devkit._internal.soak.answer_parser import AnswerParser
from lagoonbend_devkit._internal.soak.call_failure import CallFailure
from lagoonbend_devkit._internal.soak.stream_event import parse_events

CONNECT_TIMEOUT_S = 1.0
"""Time that the users' clients allow for a new connection."""
READ_SIZE_BYTES = 65_536


class SoakConnection:
    """Sends requests on one connection and never repeats one.

    :param port: port on which the instance serves callers.
    :param answer_timeout_s: time from the sending of a request after which
        its caller gives up.
    """

    def __init__(self, port: int, answer_timeout_s: float) -> None:
        self.opened_s = time.monotonic()
        self.request_count = 0
        self._port = port
        self._answer_timeout_s = answer_timeout_s
        self._sock: gevent.socket.socket | None = None
        self._parser = AnswerParser()
        self._answer_count = 0
        self._deadlines_s: deque[float] = deque()

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()

    @property
    def keeps_connection(self) -> bool:
        """False once an answer announced the close, or was not whole."""
        return all(
            answer.is_complete and answer.keeps_connection
            for answer in self._parser.answers[-1:]
        )

    def is_usable(self) -> bool:
        """Return whether neither side has ended the connection."""
        if self._sock is None:
            return not self.request_count
        if not self.keeps_connection:
            return False
        self._sock.settimeout(0.0)
        try:
            return bool(self._sock.recv(1, gevent.socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, data: bytes) -> None:
        """Send a request; the first one opens the connection.

        If this fails, no answer to the request will be received.
        """
        self.request_count += 1
        self._deadlines_s.append(time.monotonic() + self._answer_timeout_s)
        try:
            if self.request_count == 1:
                self._sock = gevent.socket.create_connection(
                    (LOOPBACK, self._port), CONNECT_TIMEOUT_S
                )
            if self._sock is not None:
                self._sock.settimeout(self._answer_timeout_s)
                self._sock.sendall(data)
        except OSError:
            # The read of the answer reports how the connection ended.
            return

    def read_answer(
        self, *, hangs_up: bool = False
    ) -> tuple[Answer, CallFailure]:
        """Return the answer to the oldest request that has none yet.

        An answer that isn't whole has status 0.

        :param hangs_up: True to read only up to the first event of a stream.
        """
        failure = self._receive(self._deadlines_s.popleft(), hangs_up)
        number = self._answer_count
        self._answer_count += 1
        if number >= len(self._parser.answers):
            return NO_ANSWER, failure
        answer = self._parser.answers[number]
        if failure is CallFailure.CLOSED:
            failure = CallFailure.CUT
        status = 0 if failure.value else answer.status
        return Answer(status, answer.headers, answer.body), failure

    def _receive(self, deadline_s: float, hangs_up: bool) -> CallFailure:
        """Receive until the next answer is complete."""
        if self._sock is None:
            return CallFailure.NOT_CONNECTED
        number = self._answer_count
        answers = self._parser.answers
        try:
            while number >= len(answers) or not answers[number].is_complete:
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return CallFailure.TIMED_OUT
                self._sock.settimeout(left_s)
                data = self._sock.recv(READ_SIZE_BYTES)
                if not data:
                    return CallFailure.CLOSED
                self._parser.feed(data)
                if (
                    hangs_up
                    and number < len(answers)
                    and not answers[number].is_complete
                    and parse_events(answers[number].body)
                ):
                    return CallFailure.HUNG_UP
        except TimeoutError:
            return CallFailure.TIMED_OUT
        except httptools.HttpParserError:
            return CallFailure.CUT
        except OSError:
            return CallFailure.CLOSED
        return CallFailure.NONE
