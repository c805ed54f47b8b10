"""Sends and receives messages over one connection."""

from collections.abc import Iterator
import contextlib
import struct

import gevent
import gevent.event
import gevent.socket
import msgspec

from lagoonbend.exceptions import PeerError
from lagoonbend_entry._internal.coordination.messages import AnyMessage
from lagoonbend_entry._internal.coordination.messages import Message

LENGTH = struct.Struct('>I')
GREATEST_FRAME_BYTES = 8 * 1024 * 1024
"""Bound on one message; a published item has at most a megabyte."""
GREATEST_WAITING_BYTES = 4 * 1024 * 1024
"""Bytes that may wait for a peer that doesn't read; above, the connection
is given up."""
READ_BYTES = 65_536


class MessageChannel:
    """A connection that carries messages both ways.

    :param sock: connected socket.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._sock = sock
        self._waiting = bytearray()
        self._is_filled = gevent.event.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)
        self._writer = gevent.spawn(self._write)
        self.is_closed = False

    def send(self, message: Message) -> None:
        """Send a message soon; never blocks."""
        if self.is_closed:
            return
        content = self._encoder.encode(message)
        self._waiting += LENGTH.pack(len(content))
        self._waiting += content
        if len(self._waiting) > GREATEST_WAITING_BYTES:
            self.close()
            return
        self._is_filled.set()

    def receive(self) -> Iterator[AnyMessage]:
        """Yield messages until the connection ends.

        :raises PeerError: if bytes can't be read as a message.
        """
        rest = bytearray()
        while not self.is_closed:
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            rest += data
            yield from self._split(rest)

    def close(self) -> None:
        """Close the connection; what waits is dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        self._is_filled.set()
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent.socket.SHUT_RDWR)
        self._sock.close()

    def _split(self, rest: bytearray) -> Iterator[AnyMessage]:
        start = 0
        while len(rest) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(rest, start)
            if size > GREATEST_FRAME_BYTES:
                raise PeerError(f'message of {size} bytes')
            end = start + LENGTH.size + size
            if len(rest) < end:
                break
            content = bytes(rest[start + LENGTH.size : end])
            start = end
            try:
                yield self._decoder.decode(content)
            except msgspec.DecodeError as error:
                raise PeerError(f'unreadable message: {error}') from error
        del rest[:start]

    def _write(self) -> None:
        while not self.is_closed:
            self._is_filled.wait()
            self._is_filled.clear()
            data = bytes(self._waiting)
            self._waiting.clear()
            try:
                self._sock.sendall(data)
            except OSError:
                self.close()
                return
