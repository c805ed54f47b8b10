"""Target that answers each connection with prepared bytes."""

from collections.abc import Sequence

import gevent.socket

from tests.lib.raw_server import RawServer
from tests.lib.raw_server import READ_BYTES


class ScriptedTarget(RawServer):
    """Reads a request, sends prepared bytes and closes the connection.

    :param scripts: bytes to send, one item for each connection; the last one
        is sent on all further connections.
    """

    def __init__(self, scripts: Sequence[bytes]) -> None:
        self._scripts = list(scripts)
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one connection."""
        sock.recv(READ_BYTES)
        script = self._scripts[0]
        if len(self._scripts) > 1:
            del self._scripts[0]
        sock.sendall(script)
        sock.close()


def write_answer(
    body: bytes, *, length: int | None = None, headers: bytes = b''
) -> bytes:
    """Return an HTTP response as bytes.

    :param length: value of Content-Length, which may differ from the size of
        the body; by default the right one.
    """
    size = len(body) if length is None else length
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    return head + headers + f'Content-Length: {size}\r\n\r\n'.encode() + body


def write_chunked(*chunks: bytes, whole: bool = True) -> bytes:
    """Return a chunked HTTP response as bytes.

    :param whole: False to leave out the terminating chunk.
    """
    head = (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    body = b''.join(b'%x\r\n%s\r\n' % (len(c), c) for c in chunks)
    return head + body + (b'0\r\n\r\n' if whole else b'')
