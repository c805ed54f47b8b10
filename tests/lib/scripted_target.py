"""A target that answers each request with given bytes."""

from collections.abc import Sequence

import gevent.server
import gevent.socket

READ_BYTES = 65_536


class ScriptedTarget:
    """Sends one script a connection, then closes it.

    :param scripts: bytes to answer with, one for each connection; the last
        one is used again.
    """

    def __init__(self, scripts: Sequence[bytes]) -> None:
        self._scripts = list(scripts)
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def port(self) -> int:
        """TCP port of the target."""
        port: int = self._server.server_port
        return port

    def close(self) -> None:
        """Stop the target."""
        self._server.stop()

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        sock.recv(READ_BYTES)
        script = self._scripts[0]
        if len(self._scripts) > 1:
            del self._scripts[0]
        sock.sendall(script)
        sock.close()


def write_answer(
    body: bytes, *, length: int | None = None, headers: bytes = b''
) -> bytes:
    """Return an answer; ``length`` may lie about its body."""
    size = len(body) if length is None else length
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    return head + headers + f'Content-Length: {size}\r\n\r\n'.encode() + body


def write_chunked(*chunks: bytes, whole: bool = True) -> bytes:
    """Return a chunked answer, with or without its last chunk."""
    head = (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    body = b''.join(b'%x\r\n%s\r\n' % (len(c), c) for c in chunks)
    return head + body + (b'0\r\n\r\n' if whole else b'')
