"""One dispatch sends exactly one request.

Guards against a request that runs twice. This comes about when an HTTP client
repeats a request by itself because a reused connection was closed before the
answer, although the target has executed it.
"""

import unittest

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed

from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Target
from lagoonbend.models import Verdict
from lagoonbend_entry._internal.network.targets import target_client
from lagoonbend_entry._internal.network.targets import target_response
from tests.lib.calls import build_call
from tests.lib.resetting_service import ResettingService

METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'POST', 'PATCH')


class SingleRequestTest(unittest.TestCase):
    """Calls a service that executes requests and closes the connection."""

    def test_library_alone_repeats_by_itself(self) -> None:
        """Shows the failure: the library repeats a GET by itself."""
        service = ResettingService(answers=1)
        self.addCleanup(service.close)
        client = HTTPClient('127.0.0.1', service.port)
        client.get('/').read()
        with self.assertRaises(HTTPConnectionClosed):
            for _ in range(2):
                client.get('/').read()
                service._answers = 0
        self.assertGreater(service.executions, 2)

    def test_dispatch_executes_once_on_fresh_connection(self) -> None:
        """A call of each method is executed once and may have run."""
        for method in METHODS:
            with self.subTest(method=method):
                self._check_executed_once(method)

    def test_connection_is_never_used_again(self) -> None:
        """A second request on a connection is refused without being sent."""
        service = ResettingService(answers=1)
        self.addCleanup(service.close)
        connection = self._connect(service)
        _send(connection, 'attempt-1.1').read_whole(100)
        with self.assertRaises(DispatchError) as caught:
            _send(connection, 'attempt-1.2')
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)
        self.assertEqual(1, service.executions)

    def test_refused_connection_was_not_run(self) -> None:
        """Without a listener the call certainly has not run."""
        service = ResettingService(answers=0)
        target = self._build_target(service)
        service.close()
        with self.assertRaises(DispatchError) as caught:
            target_client.TargetConnection(
                target, connect_timeout_ms=500, silence_timeout_ms=500
            )
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)

    def _check_executed_once(self, method: str) -> None:
        service = ResettingService(answers=0)
        self.addCleanup(service.close)
        connection = self._connect(service)
        with self.assertRaises(DispatchError) as caught:
            _send(connection, 'attempt-1.1', method)
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)
        self.assertEqual(1, service.executions)

    def _connect(
        self, service: ResettingService
    ) -> target_client.TargetConnection:
        return target_client.TargetConnection(
            self._build_target(service),
            connect_timeout_ms=500,
            silence_timeout_ms=500,
        )

    def _build_target(self, service: ResettingService) -> Target:
        return Target('service', 'service', '127.0.0.1', service.port, 'north')


def _send(
    connection: target_client.TargetConnection,
    attempt: str,
    method: str = 'POST',
) -> target_response.TargetResponse:
    call = build_call(method=method)
    return connection.send(call, attempt, head_timeout_ms=500)
