"""Pages of the platform's store that come without end.

Guards against an instance that is killed for its memory, or that follows the
store no more, since one answer of the store doesn't end.
"""

import contextlib
import time
import unittest

import gevent
import gevent.socket

from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.models import store_error
from lagoonbend_entry._internal.platform import store_client
from tests.lib.raw_server import RawServer

TIMEOUT_MS = 100


class EndlessStore(RawServer):
    """Answers each request with a body that doesn't end.

    :param piece: sent again and again.
    :param pause_s: pause after each piece.
    """

    def __init__(self, piece: bytes, pause_s: float) -> None:
        self.sent_bytes = 0
        self._piece = piece
        self._pause_s = pause_s
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Send until the client closes."""
        with contextlib.suppress(OSError):
            sock.recv(65_536)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
            while True:
                sock.sendall(self._piece)
                self.sent_bytes += len(self._piece)
                gevent.sleep(self._pause_s)


class NarrowStore(RawServer):
    """Answers a request at 250 KB a second.

    :param answer: the whole answer.
    """

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Send a part every 20 ms."""
        with contextlib.suppress(OSError):
            sock.recv(65_536)
            for start in range(0, len(self._answer), 5_000):
                sock.sendall(self._answer[start : start + 5_000])
                gevent.sleep(0.02)


class EndlessStoreTest(unittest.TestCase):
    """One client and one store."""

    def open_client(
        self, piece: bytes, pause_s: float = 0.0
    ) -> tuple[EndlessStore, store_client.StoreClient]:
        """Return a store and its client."""
        store = EndlessStore(piece, pause_s)
        self.addCleanup(store.close)
        client = store_client.StoreClient(
            ('127.0.0.1', store.port), 'instance', TIMEOUT_MS
        )
        self.addCleanup(client.close)
        return store, client

    # Guards against a listing that grows until the process is killed.
    def test_listing_without_end(self) -> None:
        """The listing has failed and the connection is closed."""
        store, client = self.open_client(b'x' * 1_048_576)
        with gevent.Timeout(3), self.assertRaises(PlatformError):
            client.list_items('', '')
        gevent.sleep(0.1)
        sent_bytes = store.sent_bytes
        self.assertLess(sent_bytes, 3 * 8 * 1_048_576)
        gevent.sleep(0.1)
        self.assertEqual(sent_bytes, store.sent_bytes)

    # Guards against a watch that is repeated with the same result for ever.
    def test_changes_without_end(self) -> None:
        """The items must be listed again."""
        _, client = self.open_client(b'x' * 1_048_576)
        with (
            gevent.Timeout(3),
            self.assertRaises(store_error.HistoryLostError),
        ):
            client.watch('', 1, 0)

    # Guards against a slow page for which an instance waits for ever.
    def test_slow_page(self) -> None:
        """The listing has failed after a few timeouts."""
        _, client = self.open_client(b'x', 0.02)
        start_s = time.monotonic()
        with gevent.Timeout(3), self.assertRaises(PlatformError):
            client.list_items('', '')
        self.assertLess(time.monotonic() - start_s, 1.0)

    # Guards against a page that is given up over a narrow link, and begun
    # anew each time.
    def test_long_page_over_a_narrow_link(self) -> None:
        """It is read to its end, in several times the timeout."""
        page = b'{"entries":[],"as-of":7%b}' % (b' ' * 200_000)
        head = b'Content-Length: %d\r\n\r\n' % len(page)
        store = NarrowStore(b'HTTP/1.1 200 OK\r\n' + head + page)
        self.addCleanup(store.close)
        client = store_client.StoreClient(
            ('127.0.0.1', store.port), 'instance', TIMEOUT_MS
        )
        self.addCleanup(client.close)
        start_s = time.monotonic()
        with gevent.Timeout(5):
            self.assertEqual(7, client.list_items('', '').revision)
        self.assertGreater(
            time.monotonic() - start_s,
            store_client.MAX_PAGE_TIMEOUTS * TIMEOUT_MS / 1_000,
        )


if __name__ == '__main__':
    unittest.main()
