"""A complete request of a caller."""

from typing import NamedTuple


class IncomingRequest(NamedTuple):
    """Method, path, headers and body as the caller sent them.

    :param method: HTTP method.
    :param path: path and query.
    :param headers: names and values in the order received.
    :param header_map: first value of each header by lower-case name.
    :param body: complete body.
    :param keeps_connection: True if the caller wants to keep the connection
        open.
    :param accepts_chunked: False for HTTP/1.0, which has no chunked encoding.
    :param received_ms: time on the instance's clock at which the head was
        complete.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    header_map: dict[str, str]
    body: bytes
    keeps_connection: bool
    accepts_chunked: bool
    received_ms: int

    def list_connection_headers(self) -> list[str]:
        """Return the lower-case names listed in the Connection header."""
        value = self.header_map.get('connection', '')
        return [name.strip().lower() for name in value.split(',')]
