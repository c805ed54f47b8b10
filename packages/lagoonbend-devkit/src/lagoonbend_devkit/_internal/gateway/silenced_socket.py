"""A socket that can fall silent in both directions."""

import errno
import os
from typing import Any

import gevent.socket


class SilencedSocket(gevent.socket.socket):
    """Behaves as behind a network partition while ``is_silent`` is set.

    What is sent is lost, and what arrives is dropped. With ``is_reset``, the
    connection ends before anything is sent or received.
    """

    is_silent = False
    is_reset = False

    @classmethod
    def wrap(cls, sock: gevent.socket.socket) -> 'SilencedSocket':
        """Return a socket that takes over the connection of another one."""
        return cls(sock.family, sock.type, fileno=sock.detach())

    def recv(self, *args: Any) -> bytes:
        """Return the next bytes; wait on while those that arrive are lost."""
        self._check_reset()
        while True:
            data: bytes = super().recv(*args)
            if not (data and self.is_silent):
                return data

    def send(self, data: Any, *args: Any, **options: Any) -> int:
        """Send bytes, or lose them; ``sendall`` sends by this method."""
        self._check_reset()
        if self.is_silent:
            return len(data)
        sent: int = super().send(data, *args, **options)
        return sent

    def _check_reset(self) -> None:
        if self.is_reset:
            raise ConnectionResetError(
                errno.ECONNRESET, os.strerror(errno.ECONNRESET)
            )
