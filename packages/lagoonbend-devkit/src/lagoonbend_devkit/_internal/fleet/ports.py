"""Free TCP ports on loopback."""

import socket

LOOPBACK = '127.0.0.1'


def find_free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((LOOPBACK, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
