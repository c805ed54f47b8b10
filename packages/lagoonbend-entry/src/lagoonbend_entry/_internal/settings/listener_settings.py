"""Sections ``[callers]``, ``[operators]`` and ``[peers]``."""

from typing import NamedTuple


class CallersSettings(NamedTuple):
    """The callers' listener.

    :param address: IP number to listen on.
    :param port: TCP port.
    :param body_limit_bytes: greatest size of a request body.
    :param body_timeout_ms: time for a caller to send its whole request.
    """

    address: str
    port: int
    body_limit_bytes: int = 1_048_576
    body_timeout_ms: int = 10_000


class OperatorsSettings(NamedTuple):
    """The operators' listener.

    :param address: IP number to listen on.
    :param port: TCP port.
    """

    address: str
    port: int


class PeersSettings(NamedTuple):
    """The peers' listener.

    :param address: IP number to listen on, as peers see it.
    :param port: TCP port.
    :param timeout_ms: time for one call to a peer.
    :param heartbeat_ms: time between two exchanges with each peer.
    """

    address: str
    port: int
    timeout_ms: int = 500
    heartbeat_ms: int = 1_000
