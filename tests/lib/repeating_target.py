"""Target that writes an earlier refusal once more on a kept connection."""

import gevent.socket

from tests.lib.raw_server import RawServer
from tests.lib.raw_server import READ_BYTES

HEAD_END = b'\r\n\r\n'
ATTEMPT_NAME = b'attempt-id'


class RepeatingTarget(RawServer):
    """Refuses the first request of each connection, and runs the others.

    Before the answer to each other one it writes the refusal again. ``runs``
    has the attempts that it has run.

    :param has_identity: True if the refusal bears the identity of the attempt.
    :param headers: further lines of the refusal's head.
    """

    def __init__(self, *, has_identity: bool, headers: bytes = b'') -> None:
        self.runs: list[str] = []
        self._has_identity = has_identity
        self._headers = headers
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one connection."""
        received = b''
        refusal = b''
        while True:
            data = sock.recv(READ_BYTES)
            if not data:
                return
            received += data
            head, end, body = received.partition(HEAD_END)
            fields = _read_fields(head)
            if not end or len(body) < int(fields.get(b'content-length', 0)):
                continue
            received = b''
            attempt = fields.get(ATTEMPT_NAME, b'')
            if refusal:
                self.runs.append(attempt.decode())
                sock.sendall(refusal + _write_answer(attempt))
                continue
            refusal = self._write_refusal(attempt)
            sock.sendall(refusal)

    def _write_refusal(self, attempt: bytes) -> bytes:
        identity = b''
        if self._has_identity:
            identity = b'Attempt-Id: ' + attempt + b'\r\n'
        return (
            b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
            + identity
            + self._headers
            + b'Content-Length: 0\r\n\r\n'
        )


def _read_fields(head: bytes) -> dict[bytes, bytes]:
    lines = [line.partition(b':') for line in head.split(b'\r\n')[1:]]
    return {name.lower(): value.strip() for name, _, value in lines}


def _write_answer(attempt: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nAttempt-Id: '
        + attempt
        + b'\r\nContent-Length: 3\r\n\r\nran'
    )
