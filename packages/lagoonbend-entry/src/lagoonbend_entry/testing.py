"""Parts of the data path, for tests and for simulated services."""

from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.request_parser import RequestParser
from lagoonbend_entry._internal.gateway.successor_search import SuccessorSearch
from lagoonbend_entry._internal.gateway.tcp_socket import open_tcp_socket

__all__ = [
    'IncomingRequest',
    'RequestParser',
    'SuccessorSearch',
    'open_tcp_socket',
    'target_connection',
]
