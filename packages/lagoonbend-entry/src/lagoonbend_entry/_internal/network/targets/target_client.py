"""Client of targets: one dispatch is one request on the wire."""

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Call
from lagoonbend.models import Target
from lagoonbend.models import Verdict
from lagoonbend_entry._internal.network.targets import single_use_pool
from lagoonbend_entry._internal.network.targets import target_response

ATTEMPT_HEADER = 'Lagoonbend-Attempt'
MILLISECONDS_PER_SECOND = 1000


class TargetConnection(HTTPClient):
    """An open connection that carries one request.

    :param target: target to connect to.
    :param connect_timeout_ms: time to connect.
    :param silence_timeout_ms: greatest silence of the target.
    :raises DispatchError: if the target can't be reached; not run.
    """

    def __init__(
        self,
        target: Target,
        *,
        connect_timeout_ms: int,
        silence_timeout_ms: int,
    ) -> None:
        super().__init__(target.ip, target.port)
        self._target = target
        self._pool = single_use_pool.SingleUsePool(
            target.ip,
            target.port,
            connect_timeout_s=connect_timeout_ms / MILLISECONDS_PER_SECOND,
            network_timeout_s=silence_timeout_ms / MILLISECONDS_PER_SECOND,
        )
        self._connection_pool = self._pool
        try:
            self._pool.connect()
        except OSError as error:
            raise DispatchError(
                f'no connection: {error}',
                verdict=Verdict.NOT_RUN,
                context=f'target {target.target}',
            ) from error

    def abort(self) -> None:
        """Close the connection."""
        self._pool.abort()

    def send(self, call: Call, attempt: str) -> target_response.TargetResponse:
        """Write the request once and wait for the head of the answer.

        :param attempt: identity of this dispatch.
        :raises DispatchError: if no usable answer comes; may have run.
        """
        context = f'target {self._target.target}, attempt {attempt}'
        try:
            response = self.request(
                call.method,
                call.path,
                body=call.body,
                headers=_build_headers(call, attempt),
            )
        except (
            single_use_pool.SecondUseError,
            OSError,
            HTTPParseError,
        ) as error:
            self._pool.abort()
            raise DispatchError(
                f'no answer: {type(error).__name__} {error}'.rstrip(),
                verdict=Verdict.MAY_HAVE_RUN,
                context=context,
            ) from error
        return target_response.TargetResponse(response, context)


def _build_headers(call: Call, attempt: str) -> dict[str, str]:
    headers = {
        ATTEMPT_HEADER: attempt,
        'X-Request-Id': attempt,
        'Lagoonbend-Tier': call.request_class.tier,
        'Connection': 'close',
    }
    if call.content_type:
        headers['Content-Type'] = call.content_type
    if call.key is not None:
        headers['Idempotency-Key'] = call.key
    return headers
