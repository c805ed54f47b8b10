"""TCP proxy on loopback that injects faults into its connections."""

import enum
import math
import re
import struct
import time

import gevent
import gevent.server
import gevent.socket

from lagoonbend_devkit._internal.soak.link_fault import LinkFault
from lagoonbend_devkit._internal.soak.sent_request import SentRequest

READ_SIZE_BYTES = 65_536
DELAY_S = 0.15
"""Delay of each chunk of bytes in mode DELAY; below 200 ms, after which a lost
packet would be retransmitted."""
ATTEMPT_PATTERN = re.compile(rb'\r\nAttempt-Id: (\S+)\r\n')
ZERO_LINGER = struct.pack('ii', 1, 0)
"""Option SO_LINGER with which ``close`` resets the connection."""


class ProxyMode(enum.Enum):
    """How the proxy handles received bytes and new connections.

    ``SILENT`` discards the bytes of both directions, ``CUT_TO_SERVER`` and
    ``CUT_TO_CLIENT`` those of one; ``REFUSE`` closes new connections.
    """

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    CUT_TO_SERVER = 'cut_to_server'
    CUT_TO_CLIENT = 'cut_to_client'
    REFUSE = 'refuse'


class FaultProxy:
    """Relays connections to one server on loopback.

    Bytes that arrive while their direction is cut are discarded, and so are
    all later bytes of that connection in that direction, as in a network
    partition. ``link_faults`` records each connection that was reset, refused
    or cut, and ``requests`` what was sent to the server.

    :param upstream_endpoint: ``ip:port`` of the server.
    """

    def __init__(self, upstream_endpoint: str) -> None:
        ip, _, port = upstream_endpoint.rpartition(':')
        self._upstream_address = (ip, int(port))
        self.mode = ProxyMode.PASS
        self.link_faults: list[LinkFault] = []
        self.requests: list[SentRequest] = []
        self._sockets: set[gevent.socket.socket] = set()
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve_connection
        )
        self._server.start()
        self.endpoint = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        if self._sockets:
            self._record_instant_fault()
        for sock in list(self._sockets):
            sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, ZERO_LINGER
            )
            sock.close()
        self._sockets.clear()

    def _serve_connection(
        self, client: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        if self.mode is ProxyMode.REFUSE:
            client.close()
            self._record_instant_fault()
            return
        server = gevent.socket.create_connection(self._upstream_address)
        self._sockets.update((client, server))
        to_server_greenlet = gevent.spawn(
            self._relay, client, server, ProxyMode.CUT_TO_SERVER
        )
        try:
            self._relay(server, client, ProxyMode.CUT_TO_CLIENT)
        finally:
            to_server_greenlet.kill()
            for sock in (client, server):
                self._sockets.discard(sock)
                sock.close()

    def _relay(
        self,
        source: gevent.socket.socket,
        destination: gevent.socket.socket,
        cut_mode: ProxyMode,
    ) -> None:
        is_discarding = False
        fault_number = 0
        try:
            while data := source.recv(READ_SIZE_BYTES):
                if cut_mode is ProxyMode.CUT_TO_SERVER:
                    self._record_requests(data)
                if self.mode is ProxyMode.DELAY:
                    gevent.sleep(DELAY_S)
                if not is_discarding and self.mode in (
                    ProxyMode.SILENT,
                    cut_mode,
                ):
                    is_discarding = True
                    fault_number = len(self.link_faults)
                    self.link_faults.append(
                        LinkFault(time.monotonic(), math.inf)
                    )
                if not is_discarding:
                    destination.sendall(data)
            if not is_discarding:
                destination.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return
        finally:
            if is_discarding:
                fault = self.link_faults[fault_number]
                self.link_faults[fault_number] = fault._replace(
                    end_s=time.monotonic()
                )

    def _record_requests(self, data: bytes) -> None:
        self.requests.extend(
            SentRequest(attempt.decode(), time.monotonic())
            for attempt in ATTEMPT_PATTERN.findall(data)
        )

    def _record_instant_fault(self) -> None:
        now_s = time.monotonic()
        self.link_faults.append(LinkFault(now_s, now_s))
