"""Opens TCP connections that detect an unreachable peer."""

import gevent.socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Keepalive probes start after a second of silence, so that a host that lost
power or is behind a network partition is detected within about three
seconds."""
MILLISECONDS_PER_SECOND = 1000


def open_tcp_socket(
    address: tuple[str, int], timeout_ms: int
) -> gevent.socket.socket:
    """Return a connected socket.

    :raises OSError: if the connection can't be opened in time.
    """
    sock = gevent.socket.socket(gevent.socket.AF_INET)
    try:
        sock.settimeout(timeout_ms / MILLISECONDS_PER_SECOND)
        sock.connect(address)
        set_tcp_options(sock)
    except OSError:
        sock.close()
        raise
    return sock


def set_tcp_options(sock: gevent.socket.socket) -> None:
    """Disable Nagle's algorithm and enable keepalive probes."""
    tcp = gevent.socket.IPPROTO_TCP
    sock.setsockopt(tcp, gevent.socket.TCP_NODELAY, 1)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    user_timeout_ms = MILLISECONDS_PER_SECOND * (
        KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
    )
    sock.setsockopt(tcp, gevent.socket.TCP_USER_TIMEOUT, user_timeout_ms)
