"""Sections ``[callers]``, ``[operators]`` and ``[peers]``."""

from typing import NamedTuple


class CallersSettings(NamedTuple):
    """Listener for callers.

    :param address: IP address to listen on.
    :param port: TCP port.
    :param body_limit_bytes: maximum size of a request body.
    :param body_timeout_ms: time for a caller to send its whole request.
    """

    address: str
    port: int
    body_limit_bytes: int = 1_048_576
    body_timeout_ms: int = 10_000


class OperatorsSettings(NamedTuple):
    """Listener for operators.

    :param address: IP address to listen on.
    :param port: TCP port.
    """

    address: str
    port: int


class PeersSettings(NamedTuple):
    """Listener for peers, and calls to peers.

    :param address: IP address to listen on; peers connect to the same one.
    :param port: TCP port.
    :param timeout_ms: timeout of one call to a peer.
    :param heartbeat_ms: time between two rounds of exchanges with peers.
    """

    address: str
    port: int
    timeout_ms: int = 500
    heartbeat_ms: int = 1_000
