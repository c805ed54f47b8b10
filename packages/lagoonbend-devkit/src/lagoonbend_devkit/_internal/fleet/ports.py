"""Free TCP ports on loopback."""

import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 12_000
"""Lowest port that is given out."""
LAST_PORT = 32_000
"""Ports from here on may be taken by outgoing connections; the range that
Linux draws those from begins at 32768."""
BLOCK_PORTS = 32
"""Ports of a block; the first one is held by the process that uses the
others. A fleet of four instances takes 17 ports."""
TRIES = 200

_guards: list[socket.socket] = []


class NoPortsError(RuntimeError):
    """No block of free ports was found."""


def find_free_ports(
    count: int, choose: random.Random | None = None
) -> list[int]:
    """Return free ports that no other process is given meanwhile.

    They come from blocks whose first port stays bound until this process
    ends, and from below the range of outgoing connections.

    :param choose: draws the blocks.
    :raises NoPortsError: if too few blocks are free.
    """
    source = choose or random.Random()
    blocks = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
    ports: list[int] = []
    for _ in range(TRIES):
        first = FIRST_PORT + BLOCK_PORTS * source.randrange(blocks)
        ports.extend(_take_block(first))
        if len(ports) >= count:
            return ports[:count]
    raise NoPortsError(f'{len(ports)} of {count} ports in {TRIES} tries')


def _take_block(first: int) -> list[int]:
    """Return the ports of a block; none if some process uses one of them."""
    guard = _bind(first)
    if guard is None:
        return []
    ports = list(range(first + 1, first + BLOCK_PORTS))
    if not all(_is_free(port) for port in ports):
        guard.close()
        return []
    _guards.append(guard)
    return ports


def _is_free(port: int) -> bool:
    sock = _bind(port)
    if sock is None:
        return False
    sock.close()
    return True


def _bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        sock.close()
        return None
    return sock
