"""Serves every call."""

import falcon

from lagoonbend.attempts import refusals
from lagoonbend.claims import is_ticket
from lagoonbend.claims import PauseDetector
from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.models import Refusal
from lagoonbend_entry._internal.network.callers import problem_response
from lagoonbend_entry._internal.network.callers import tracked_handler
from lagoonbend_entry._internal.serving.call_reader import CallReader
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

TICKET_HEADER = 'Lagoonbend-Next-Ticket'


class CallSink:
    """Reads a call, serves it and writes its answer.

    :param reader: turns requests into calls.
    :param server: serves calls.
    :param pauses: tells which requests may have waited in a pause.
    :param metrics: counters.
    """

    def __init__(
        self,
        reader: CallReader,
        server: CallServer,
        pauses: PauseDetector,
        metrics: Metrics,
    ) -> None:
        self._reader = reader
        self._server = server
        self._pauses = pauses
        self._metrics = metrics

    def __call__(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Serve one request."""
        call = None
        try:
            call = self._reader.read(request)
            self._check_age(request, call)
            self._offer_ticket(response, call)
            served = self._server.serve(call)
        except RefusedError as error:
            self._note(call, error.refusal)
            problem_response.write_refusal(response, error.refusal)
        else:
            problem_response.write_served(response, served)

    def _check_age(self, request: falcon.Request, call: Call) -> None:
        if call.key is None or is_ticket(call.key):
            return
        connected_ms = request.env[tracked_handler.CONNECTED_KEY]
        if not self._pauses.is_age_known(connected_ms):
            raise refusals.refuse_age_unknown()

    def _offer_ticket(self, response: falcon.Response, call: Call) -> None:
        if call.request_class.idempotent:
            return
        ticket = self._server.issue_ticket(call.customer)
        response.set_header(TICKET_HEADER, ticket)

    def _note(self, call: Call | None, refusal: Refusal) -> None:
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
