"""A request of a caller, read whole."""

from typing import NamedTuple


class IncomingRequest(NamedTuple):
    """Method, target, headers and body, as the caller sent them.

    :param method: HTTP method.
    :param path: path and query.
    :param headers: names and values in order.
    :param header_map: first value by lower-case name.
    :param body: whole body in bytes.
    :param keeps_connection: True if the caller wants to go on with the
        connection.
    :param takes_chunks: False for a caller of HTTP/1.0.
    :param received_ms: when the head was complete, on the instance's clock.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    header_map: dict[str, str]
    body: bytes
    keeps_connection: bool
    takes_chunks: bool
    received_ms: int

    def list_connection_names(self) -> list[str]:
        """Return the lower-case headers that the connection names."""
        value = self.header_map.get('connection', '')
        return [name.strip().lower() for name in value.split(',')]
