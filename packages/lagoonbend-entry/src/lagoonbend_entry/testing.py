"""Parts of the data path that stand-ins and tests share."""

from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.request_parser import RequestParser

__all__ = ['IncomingRequest', 'RequestParser']
