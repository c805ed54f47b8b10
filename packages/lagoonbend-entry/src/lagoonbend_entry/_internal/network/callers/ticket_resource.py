"""HTTP resource that issues tickets."""

import falcon

from lagoonbend.exceptions import RefusedError
from lagoonbend_entry._internal.network.callers import problem_response
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.serving.request_rules import RequestRules


class TicketResource:
    """``POST /lagoonbend/v1/tickets``: issues a key for a non-idempotent call.

    :param request_rules: authenticates callers.
    :param server: issues tickets.
    """

    def __init__(
        self, request_rules: RequestRules, server: CallServer
    ) -> None:
        self._request_rules = request_rules
        self._server = server

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Authenticate the caller and respond with a ticket."""
        authorization = request.get_header('Authorization') or ''
        try:
            customer = self._request_rules.authenticate(authorization)['name']
        except RefusedError as error:
            problem_response.write_refusal(response, error.refusal)
            return
        response.status = 201
        response.media = {'ticket': self._server.issue_ticket(customer)}
