"""A loopback proxy whose connections misbehave on demand."""

import enum
import struct

import gevent
import gevent.server
import gevent.socket

READ_BYTES = 65_536
DELAY_S = 0.15
"""Delay of each piece while connections are slow; below the 200 ms after
which a lost packet would be sent again."""
NO_LINGER = struct.pack('ii', 1, 0)


class ProxyMode(enum.Enum):
    """What becomes of bytes and of new connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    CUT_TO_SERVER = 'cut_to_server'
    CUT_TO_CLIENT = 'cut_to_client'
    REFUSE = 'refuse'


class FaultProxy:
    """Relays connections to one server on loopback.

    Bytes that come while a direction is cut are lost with their connection,
    as behind a partition.

    :param target: ``ip:port`` of the server.
    """

    def __init__(self, target: str) -> None:
        ip, _, port = target.rpartition(':')
        self._target = (ip, int(port))
        self.mode = ProxyMode.PASS
        self._sockets: set[gevent.socket.socket] = set()
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.endpoint = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop and drop all connections."""
        self._server.stop()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for sock in list(self._sockets):
            sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, NO_LINGER
            )
            sock.close()
        self._sockets.clear()

    def _serve(
        self, client: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        if self.mode is ProxyMode.REFUSE:
            client.close()
            return
        server = gevent.socket.create_connection(self._target)
        self._sockets.update((client, server))
        upward = gevent.spawn(
            self._relay, client, server, ProxyMode.CUT_TO_SERVER
        )
        try:
            self._relay(server, client, ProxyMode.CUT_TO_CLIENT)
        finally:
            upward.kill()
            for sock in (client, server):
                self._sockets.discard(sock)
                sock.close()

    def _relay(
        self,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        cut: ProxyMode,
    ) -> None:
        is_lost = False
        try:
            while data := source.recv(READ_BYTES):
                if self.mode is ProxyMode.DELAY:
                    gevent.sleep(DELAY_S)
                is_lost = is_lost or self.mode in (ProxyMode.SILENT, cut)
                if not is_lost:
                    sink.sendall(data)
            if not is_lost:
                sink.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return
