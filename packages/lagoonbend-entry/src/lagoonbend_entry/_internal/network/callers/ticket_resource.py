"""Issues tickets."""

import falcon

from lagoonbend.exceptions import RefusedError
from lagoonbend_entry._internal.network.callers import problem_response
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.serving.rulebook import Rulebook


class TicketResource:
    """``POST /lagoonbend/v1/tickets``: a key for one non-idempotent call.

    :param rulebook: authenticates callers.
    :param server: issues tickets.
    """

    def __init__(self, rulebook: Rulebook, server: CallServer) -> None:
        self._rulebook = rulebook
        self._server = server

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with a ticket."""
        authorization = request.get_header('Authorization') or ''
        try:
            customer = self._rulebook.authenticate(authorization)['name']
        except RefusedError as error:
            problem_response.write_refusal(response, error.refusal)
            return
        response.status = 201
        response.media = {'ticket': self._server.issue_ticket(customer)}
