"""A gateway instance whose links to targets can be cut, at its connections.

Run as a program in place of ``lagoonbend_entry.gateway``. A file, named by an
environment variable, says how the links are cut.
"""

import errno
import os
import pathlib
import socket
from unittest import mock
import weakref

import gevent
import gevent.socket
import msgspec

from lagoonbend_devkit._internal.gateway.link_cut import CUT_FILE_VARIABLE
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from lagoonbend_devkit._internal.gateway.link_cut import LinkCut
from lagoonbend_devkit._internal.gateway.silenced_socket import SilencedSocket
from lagoonbend_entry.gateway import main as run_gateway
from lagoonbend_entry.testing import open_tcp_socket
from lagoonbend_entry.testing import target_connection

POLL_S = 0.02
USER_TIMEOUT_S = 3.0
"""Time after which the system ends a connection whose packets are not
acknowledged, by the instance's options."""
MILLISECONDS_PER_SECOND = 1000

OpenedSockets = weakref.WeakKeyDictionary[SilencedSocket, int]


class LinkCutter:
    """Opens connections, unless the links to their ports are cut.

    :param path: file with a link cut as JSON, or an empty one for none.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._cut = LinkCut()
        self._opened: OpenedSockets = weakref.WeakKeyDictionary()

    def open_socket(
        self, address: tuple[str, int], timeout_ms: int
    ) -> gevent.socket.socket:
        """Open a connection as the gateway does.

        :raises OSError: if it can't be opened, or its link is cut.
        """
        is_cut = address[1] in self._cut.ports
        if is_cut and self._cut.kind is not CutKind.RESET:
            if self._cut.kind in (CutKind.HANG, CutKind.SILENT):
                gevent.sleep(timeout_ms / MILLISECONDS_PER_SECOND)
                raise TimeoutError('timed out')
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED)
            )
        sock = SilencedSocket.wrap(open_tcp_socket(address, timeout_ms))
        self._opened[sock] = address[1]
        if is_cut:
            sock.is_reset = True
        return sock

    def run(self) -> None:
        """Follow the file, and cut open connections."""
        while True:
            text = self._path.read_bytes()
            cut = msgspec.json.decode(text or b'{}', type=LinkCut)
            if cut != self._cut:
                self._cut = cut
                self._cut_open()
            gevent.sleep(POLL_S)

    def _cut_open(self) -> None:
        open_sockets = [
            sock
            for sock, port in self._opened.items()
            if port in self._cut.ports and sock.fileno() >= 0
        ]
        if self._cut.kind is CutKind.SILENT:
            for sock in open_sockets:
                sock.is_silent = True
            gevent.spawn_later(USER_TIMEOUT_S, _shut_down, open_sockets)
        elif self._cut.kind is not CutKind.NEW_ONLY:
            _shut_down(open_sockets)


def _shut_down(open_sockets: list[SilencedSocket]) -> None:
    for sock in open_sockets:
        if sock.fileno() >= 0:
            sock.shutdown(socket.SHUT_RDWR)


def main() -> int:
    """Run the gateway with connections that can be cut."""
    cutter = LinkCutter(pathlib.Path(os.environ[CUT_FILE_VARIABLE]))
    gevent.spawn(cutter.run)
    with mock.patch.object(
        target_connection, 'open_tcp_socket', cutter.open_socket
    ):
        return run_gateway()


if __name__ == '__main__':
    raise SystemExit(main())
