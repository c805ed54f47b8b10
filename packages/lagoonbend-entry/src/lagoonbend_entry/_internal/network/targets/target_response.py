"""Streaming access to the answer of a target."""

from collections.abc import Callable
from collections.abc import Iterator

import gevent.socket
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Verdict

LINE_END = b'\n'


class TargetResponse:
    """Status, headers and body of one dispatch.

    :param response: HTTP response of the library.
    :param close: closes the connection.
    :param context: target and attempt, for error messages.
    """

    def __init__(
        self,
        response: HTTPSocketResponse,
        close: Callable[[], None],
        context: str,
    ) -> None:
        self._response = response
        self._close = close
        self._context = context
        self.status = int(response.status_code)

    def get_header(self, name: str) -> str:
        """Return the value of a header; empty if it is missing or repeated."""
        value = self._response.get(name)
        return value if isinstance(value, str) else ''

    @property
    def is_delimited(self) -> bool:
        """True if the end of the body differs from a lost connection."""
        if self.get_header('transfer-encoding').lower() == 'chunked':
            return True
        return self._response.content_length is not None

    def read_whole(self, limit_bytes: int) -> bytes:
        """Return the whole body.

        :raises DispatchError: if it is truncated or exceeds the limit.
        """
        try:
            body = bytes(self._response.read(limit_bytes + 1))
        except (gevent.socket.error, HTTPParseError) as error:
            raise self._incomplete(str(error)) from error
        if len(body) > limit_bytes:
            self.abort()
            raise self._incomplete(f'body larger than {limit_bytes} bytes')
        if not self._response.message_complete or not self.is_delimited:
            raise self._incomplete(
                'connection closed before the end of the body'
            )
        return body

    def read_lines(self) -> Iterator[bytes]:
        """Yield lines as they arrive, including their line ends.

        :raises DispatchError: if the connection is lost.
        """
        while True:
            try:
                line = self._response.readline(LINE_END)
            except (gevent.socket.error, HTTPParseError) as error:
                raise self._incomplete(str(error)) from error
            if not line:
                return
            yield line

    def abort(self) -> None:
        """Close the connection, so that the target can stop its work."""
        self._response.release()
        self._close()

    def _incomplete(self, reason: str) -> DispatchError:
        return DispatchError(
            f'incomplete answer: {reason}',
            verdict=Verdict.MAY_HAVE_RUN,
            context=self._context,
        )
