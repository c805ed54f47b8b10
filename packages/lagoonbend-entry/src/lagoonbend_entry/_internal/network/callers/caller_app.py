"""WSGI application for callers."""

import falcon

from lagoonbend_entry._internal.network.callers import ticket_resource
from lagoonbend_entry._internal.network.callers.call_sink import CallSink

TICKETS_PATH = '/lagoonbend/v1/tickets'


def build_caller_app(
    sink: CallSink, tickets: ticket_resource.TicketResource
) -> falcon.App:
    """Return the application that serves callers."""
    app = falcon.App()
    app.add_route(TICKETS_PATH, tickets)
    app.add_sink(sink, '/')
    return app
