"""A socket that can fall silent in both directions."""

from typing import Any

import gevent.socket


class SilencedSocket(gevent.socket.socket):
    """Behaves as behind a network partition while ``is_silent`` is set.

    What is sent is lost, and what arrives is dropped.
    """

    is_silent = False

    @classmethod
    def wrap(cls, sock: gevent.socket.socket) -> 'SilencedSocket':
        """Return a socket that takes over the connection of another one."""
        return cls(sock.family, sock.type, fileno=sock.detach())

    def recv(self, *args: Any) -> bytes:
        """Return the next bytes; wait on while those that arrive are lost."""
        while True:
            data: bytes = super().recv(*args)
            if not (data and self.is_silent):
                return data

    def send(self, data: Any, *args: Any, **options: Any) -> int:
        """Send bytes, or lose them; ``sendall`` sends by this method."""
        if self.is_silent:
            return len(data)
        sent: int = super().send(data, *args, **options)
        return sent
