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
from lagoonbend_entry._internal.utils.loop_turns import LoopTurns

LENGTH_PREFIX = struct.Struct('>I')
MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Bound on the size of one message; a published item has at most a
megabyte."""
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024
"""Bytes that may be buffered for a peer that does not read; with more, the
connection is closed."""
READ_BYTES = 65_536
MILLISECONDS_PER_SECOND = 1000


class MessageChannel:
    """Carries messages both ways over a connection.

    Each message is preceded by its length.

    :param sock: connected socket.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._sock = sock
        self._send_buffer = bytearray()
        self._has_data = gevent.event.Event()
        self._is_idle = gevent.event.Event()
        self._is_idle.set()
        self._written_bytes = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)
        self._writer = gevent.spawn(self._write_messages)
        self.is_closed = False

    @property
    def queued_bytes(self) -> int:
        """Bytes that have not been handed to the system yet."""
        return len(self._send_buffer) + self._written_bytes

    def send(self, message: Message) -> None:
        """Queue a message to be sent; never blocks."""
        if self.is_closed:
            return
        content = self._encoder.encode(message)
        self._send_buffer += LENGTH_PREFIX.pack(len(content))
        self._send_buffer += content
        if len(self._send_buffer) > MAX_SEND_BUFFER_BYTES:
            self.close()
            return
        self._is_idle.clear()
        self._has_data.set()

    def wait_until_sent(self, timeout_ms: int) -> None:
        """Wait until the system has taken all that was queued.

        :param timeout_ms: longest time to wait.
        """
        self._is_idle.wait(timeout_ms / MILLISECONDS_PER_SECOND)

    def receive(self) -> Iterator[AnyMessage]:
        """Yield messages until the connection ends.

        :raises PeerError: if the received bytes are not a valid message.
        """
        receive_buffer = bytearray()
        turns = LoopTurns()
        while not self.is_closed:
            turns.begin_read()
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            receive_buffer += data
            for message in self._split_messages(receive_buffer):
                turns.begin_item()
                yield message

    def close(self) -> None:
        """Close the connection, and discard what is not yet sent."""
        if self.is_closed:
            return
        self.is_closed = True
        self._has_data.set()
        self._is_idle.set()
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent.socket.SHUT_RDWR)
        self._sock.close()

    def _split_messages(
        self, receive_buffer: bytearray
    ) -> Iterator[AnyMessage]:
        start = 0
        while len(receive_buffer) - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(receive_buffer, start)
            if size > MAX_FRAME_BYTES:
                raise PeerError(f'message of {size} bytes is too large')
            end = start + LENGTH_PREFIX.size + size
            if len(receive_buffer) < end:
                break
            content = bytes(receive_buffer[start + LENGTH_PREFIX.size : end])
            start = end
            try:
                yield self._decoder.decode(content)
            except (msgspec.DecodeError, ValueError, RecursionError) as error:
                raise PeerError(f'unreadable message: {error}') from error
        del receive_buffer[:start]

    def _write_messages(self) -> None:
        while not self.is_closed:
            self._has_data.wait()
            self._has_data.clear()
            data = bytes(self._send_buffer)
            self._send_buffer.clear()
            self._written_bytes = len(data)
            try:
                self._sock.sendall(data)
            except OSError:
                self.close()
                return
            self._written_bytes = 0
            if not self._send_buffer:
                self._is_idle.set()
