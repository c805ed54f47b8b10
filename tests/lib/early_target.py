"""Target that answers once it has read the head of a request."""

import re
import struct

import gevent
import gevent.socket

from tests.lib.raw_server import RawServer
from tests.lib.raw_server import READ_BYTES

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
READ_AFTER_S = 0.2
"""Time for which a target that ends in order still keeps its connection."""


def reset(sock: gevent.socket.socket) -> None:
    """Reset a connection."""
    sock.setsockopt(
        gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, RESET_ON_CLOSE
    )
    sock.close()


def close(sock: gevent.socket.socket) -> None:
    """Close a connection as the end of a process does."""
    sock.close()


def end_in_order(sock: gevent.socket.socket) -> None:
    """End the sending side; read nothing for a while."""
    sock.shutdown(gevent.socket.SHUT_WR)
    gevent.sleep(READ_AFTER_S)
    sock.close()


ENDS = {'reset': reset, 'close': close, 'in order': end_in_order}


class EarlyTarget(RawServer):
    """Sends an answer without a length, or any head, and ends it.

    :param answer: bytes to send, with ``ATTEMPT`` for the attempt.
    :param end: how the connection ends; a key of ``ENDS``.
    :param wait_s: time from the answer to the end.
    """

    def __init__(
        self, answer: bytes, end: str = 'close', wait_s: float = 0.0
    ) -> None:
        self.answer = answer
        self.end = end
        self.wait_s = wait_s
        self.request_count = 0
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one connection."""
        head = b''
        while b'\r\n\r\n' not in head:
            data = sock.recv(READ_BYTES)
            if not data:
                return
            head += data
        self.request_count += 1
        match = re.search(rb'attempt-id: *([^\r]*)', head, re.IGNORECASE)
        attempt = match.group(1) if match else b''
        sock.sendall(self.answer.replace(b'ATTEMPT', attempt))
        gevent.sleep(self.wait_s)
        ENDS[self.end](sock)
