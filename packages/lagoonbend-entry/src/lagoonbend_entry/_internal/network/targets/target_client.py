"""Client for targets; sends each dispatch exactly once."""

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from lagoonbend.exceptions import DispatchError
from lagoonbend.exceptions import LagoonbendError
from lagoonbend.models import Call
from lagoonbend.models import Target
from lagoonbend.models import Verdict
from lagoonbend_entry._internal.network.targets import single_response
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.utils import http_syntax

ATTEMPT_HEADER = 'Lagoonbend-Attempt'
MILLISECONDS_PER_SECOND = 1000


class TargetConnection(HTTPClient):
    """Open connection to a target, for one request.

    The library's client retries requests by itself when a connection breaks.
    Therefore only its request builder is used here, and the request is
    written to the socket once.

    :param target: target to connect to.
    :param connect_timeout_ms: timeout of the connection attempt.
    :param silence_timeout_ms: maximum time without data from the target.
    :raises DispatchError: if the target can't be reached; its verdict is
        NOT_RUN.
    """

    def __init__(
        self,
        target: Target,
        *,
        connect_timeout_ms: int,
        silence_timeout_ms: int,
    ) -> None:
        super().__init__(target.ip, target.port)
        self._context = f'target {target.target}'
        self._silence_timeout_s = silence_timeout_ms / MILLISECONDS_PER_SECOND
        self._used = False
        try:
            self._sock = gevent.socket.create_connection(
                (target.ip, target.port),
                timeout=connect_timeout_ms / MILLISECONDS_PER_SECOND,
            )
        except OSError as error:
            raise DispatchError(
                f'connection failed: {error}',
                verdict=Verdict.NOT_RUN,
                context=self._context,
            ) from error

    def abort(self) -> None:
        """Close the connection, so that the target can stop its work."""
        self._sock.close()

    def send(
        self, call: Call, dispatch_id: str, *, head_timeout_ms: int
    ) -> target_response.TargetResponse:
        """Write the request once and wait for the head of the answer.

        :param dispatch_id: identifier of this dispatch of the call.
        :param head_timeout_ms: time that is left for the head to arrive.
        :raises DispatchError: if there is no valid answer in time; its
            verdict is MAY_HAVE_RUN.
        """
        context = f'{self._context}, attempt {dispatch_id}'
        if self._used:
            raise DispatchError(
                'the connection was already used for a request',
                verdict=Verdict.NOT_RUN,
                context=context,
            )
        self._used = True
        head_timeout_s = head_timeout_ms / MILLISECONDS_PER_SECOND
        self._sock.settimeout(min(head_timeout_s, self._silence_timeout_s))
        try:
            self._sock.sendall(self._write(call, dispatch_id))
            response = single_response.SingleResponse(
                self._sock, method=call.method
            )
        except (OSError, HTTPParseError) as error:
            self.abort()
            raise DispatchError(
                f'no valid answer: {type(error).__name__} {error}'.rstrip(),
                verdict=Verdict.MAY_HAVE_RUN,
                context=context,
            ) from error
        except LagoonbendError:
            self.abort()
            raise
        if not http_syntax.is_status(response.status_code):
            self.abort()
            raise DispatchError(
                f'no valid answer: status {response.status_code}',
                verdict=Verdict.MAY_HAVE_RUN,
                context=context,
            )
        self._sock.settimeout(self._silence_timeout_s)
        return target_response.TargetResponse(response, self.abort, context)

    def _write(self, call: Call, dispatch_id: str) -> bytes:
        headers = _build_headers(call, dispatch_id)
        head = self._build_request(call.method, call.path, call.body, headers)
        return head.encode('latin-1') + call.body


def _build_headers(call: Call, dispatch_id: str) -> dict[str, str]:
    headers = {
        ATTEMPT_HEADER: dispatch_id,
        'X-Request-Id': dispatch_id,
        'Lagoonbend-Tier': call.request_class.tier,
        'Connection': 'close',
    }
    if call.content_type:
        headers['Content-Type'] = call.content_type
    if call.key is not None:
        headers['Idempotency-Key'] = call.key
    return headers
