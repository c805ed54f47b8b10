"""Simulated plain service that records each execution."""

import falcon
import msgspec

from lagoonbend_devkit._internal.standins.standin_server import Faults
from lagoonbend_devkit._internal.standins.standin_server import FaultsResource


class ExecutionsResource:
    """``GET /control/executions``: bodies of executed requests, in order.

    :param executions: record of the executed bodies.
    """

    def __init__(self, executions: list[str]) -> None:
        self._executions = executions

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the record."""
        response.data = msgspec.json.encode(self._executions)


class ServiceSink:
    """Executes every call and returns its body.

    The fault ``delay_ms`` waits before the execution, ``late_ms`` after it;
    ``reset`` closes the connection after the execution without sending the
    body of the answer; ``truncate`` sends half of the body.

    :param executions: record of the executed bodies.
    :param faults: faults to inject.
    """

    def __init__(self, executions: list[str], faults: Faults) -> None:
        self._executions = executions
        self._faults = faults

    def __call__(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Execute one call."""
        body = request.bounded_stream.read()
        self._faults.sleep('delay_ms')
        self._executions.append(body.decode('utf-8', 'replace'))
        self._faults.sleep('late_ms')
        attempt_id = request.get_header('Lagoonbend-Attempt')
        if attempt_id:
            response.set_header('Lagoonbend-Attempt', attempt_id)
        response.content_type = 'application/json'
        answer = msgspec.json.encode({'executed': body.decode()})
        if self._faults['reset'] or self._faults['truncate']:
            sent_bytes = len(answer) // 2 if self._faults['truncate'] else 0
            response.content_length = len(answer)
            response.stream = iter([answer[:sent_bytes]])
            response.set_header('Connection', 'close')
            return
        response.data = answer


def build_service() -> falcon.App:
    """Return the HTTP application of a simulated plain service."""
    faults = Faults()
    executions: list[str] = []
    app = falcon.App()
    app.add_route('/control/executions', ExecutionsResource(executions))
    app.add_route('/control/faults', FaultsResource(faults))
    app.add_sink(ServiceSink(executions, faults), '/')
    return app
