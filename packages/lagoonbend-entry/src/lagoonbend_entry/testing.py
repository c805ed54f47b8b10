"""Request parsing, for tests and for simulated services."""

from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.request_parser import RequestParser

__all__ = ['IncomingRequest', 'RequestParser']
