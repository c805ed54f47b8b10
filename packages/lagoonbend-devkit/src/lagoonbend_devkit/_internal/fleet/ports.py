"""Free TCP ports on loopback."""

import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 12_000
"""Lowest port of all blocks."""
END_PORT = 32_000
"""Exclusive upper bound of the blocks. Higher ports may be in use by outgoing
connections, for which Linux takes ports from 32768 on."""
PORTS_PER_BLOCK = 32
"""Size of a block. The process that uses a block keeps its first port bound as
a lock for the others. A fleet of four instances needs 17 ports."""
MAX_TRIES = 200

_guard_sockets: list[socket.socket] = []


class NoPortsError(RuntimeError):
    """Too few free ports were found."""


def find_free_ports(
    count: int, random_source: random.Random | None = None
) -> list[int]:
    """Reserve free ports until this process ends, and return them.

    They come from blocks whose first port stays bound until this process
    ends, so that no other process that calls this function gets them. All of
    them lie below the range of outgoing connections.

    :param random_source: chooses the blocks; a new generator if None.
    :raises NoPortsError: if too few blocks are free.
    """
    generator = random_source or random.Random()
    block_count = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK
    ports: list[int] = []
    for _ in range(MAX_TRIES):
        first_port = FIRST_PORT + PORTS_PER_BLOCK * generator.randrange(
            block_count
        )
        ports.extend(_reserve_block(first_port))
        if len(ports) >= count:
            return ports[:count]
    raise NoPortsError(
        f'{len(ports)} of {count} free ports found in {MAX_TRIES} tries'
    )


def _reserve_block(first_port: int) -> list[int]:
    """Lock a block and return its ports; none if one of them is in use."""
    guard = _bind(first_port)
    if guard is None:
        return []
    ports = list(range(first_port + 1, first_port + PORTS_PER_BLOCK))
    if not all(_is_free(port) for port in ports):
        guard.close()
        return []
    _guard_sockets.append(guard)
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
