"""Handles all requests of callers that have no route of their own."""

import falcon

from lagoonbend.exceptions import CallerGoneError
from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.models import Refusal
from lagoonbend_entry._internal.network.callers import problem_response
from lagoonbend_entry._internal.network.callers import tracked_handler
from lagoonbend_entry._internal.network.callers.caller_watch import CallerWatch
from lagoonbend_entry._internal.serving.call_reader import CallReader
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

TICKET_HEADER = 'Lagoonbend-Next-Ticket'


class CallSink:
    """Falcon sink that serves calls.

    :param reader: converts requests into calls.
    :param server: serves calls.
    :param metrics: metrics of the instance.
    """

    def __init__(
        self,
        reader: CallReader,
        server: CallServer,
        metrics: Metrics,
    ) -> None:
        self._reader = reader
        self._server = server
        self._metrics = metrics

    def __call__(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Serve one request and write its answer or its refusal."""
        call = None
        try:
            call = self._reader.read(request)
            self._offer_ticket(response, call)
            with CallerWatch(request.env[tracked_handler.SOCKET_KEY]):
                served = self._server.serve(call)
        except RefusedError as error:
            self._record_refusal(call, error.refusal)
            problem_response.write_refusal(response, error.refusal)
        except CallerGoneError:
            log_event(Event.REQUEST_LEFT, attempt=call.attempt if call else '')
        else:
            problem_response.write_served(response, served)

    def _offer_ticket(self, response: falcon.Response, call: Call) -> None:
        if call.request_class.idempotent:
            return
        ticket = self._server.issue_ticket(call.customer)
        response.set_header(TICKET_HEADER, ticket)

    def _record_refusal(self, call: Call | None, refusal: Refusal) -> None:
        tier = call.request_class.tier if call else ''
        self._metrics.refusals.inc(
            {
                'tier': tier,
                'code': refusal.code.value,
                'verdict': refusal.verdict.value,
            }
        )
        log_event(
            Event.REQUEST_REFUSED,
            attempt=call.attempt if call else '',
            tier=tier,
            code=refusal.code.value,
            verdict=refusal.verdict.value,
        )
