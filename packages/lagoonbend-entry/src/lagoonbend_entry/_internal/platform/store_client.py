"""The one client of the platform's service."""

import urllib.parse

from lagoonbend.exceptions import NetworkError
from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.target_connection import encode_request
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.platform.store_codec import decode_changes
from lagoonbend_entry._internal.platform.store_codec import decode_listing
from lagoonbend_entry._internal.platform.store_codec import ItemsPage

OK = 200
GONE = 410


class HistoryGoneError(PlatformError):
    """The changes since a revision are no longer to be had."""


class StoreClient:
    """Reads and watches published items over one kept connection.

    :param address: IP number and port of the service.
    :param name: name of the instance, told to the service.
    :param timeout_ms: greatest time for a connection, and for an answer
        beyond the time that a call waits by itself.
    """

    def __init__(
        self, address: tuple[str, int], name: str, timeout_ms: int
    ) -> None:
        self._address = address
        self._name = name
        self._timeout_ms = timeout_ms
        self._connection: target_connection.TargetConnection | None = None
        self.call_count = 0

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def list_items(self, prefix: str, after_key: str) -> ItemsPage:
        """Return a page of the items whose keys begin with a prefix.

        :param after_key: last key of the page before; empty for the first.
        :raises PlatformError: if there is no usable answer.
        """
        query = {'prefix': prefix}
        if after_key:
            query['after'] = after_key
        return decode_listing(self._call(names.RANGE_CALL, query, 0))

    def watch(self, prefix: str, revision: int, wait_ms: int) -> ItemsPage:
        """Return the changes after a revision, as soon as there are any.

        :param wait_ms: time after which an empty page is returned.
        :raises HistoryGoneError: if the changes are no longer to be had.
        :raises PlatformError: if there is no usable answer.
        """
        query = {
            'prefix': prefix,
            'after': str(revision),
            'wait-ms': str(wait_ms),
        }
        return decode_changes(self._call(names.WATCH_CALL, query, wait_ms))

    def _call(self, path: str, query: dict[str, str], wait_ms: int) -> bytes:
        self.call_count += 1
        try:
            return self._exchange(path, query, wait_ms)
        except PlatformError:
            self.close()
            raise
        except NetworkError as error:
            self.close()
            raise PlatformError(
                error.message, context=error.context or path
            ) from error

    def _exchange(
        self, path: str, query: dict[str, str], wait_ms: int
    ) -> bytes:
        if self._connection is None or not self._connection.is_quiet():
            self.close()
            self._connection = target_connection.TargetConnection.connect(
                self._address, self._timeout_ms
            )
        connection = self._connection
        full_path = f'{path}?{urllib.parse.urlencode(query)}'
        headers = [
            ('Host', '{}:{}'.format(*self._address)),
            ('User-Agent', self._name),
        ]
        connection.send(
            encode_request('GET', full_path, headers, b''), self._timeout_ms
        )
        answer = connection.read_head(wait_ms + self._timeout_ms)
        body = b''.join(connection.read_body(answer, self._timeout_ms))
        if not connection.is_reusable or not answer.keeps_connection:
            self.close()
        if answer.status == GONE:
            raise HistoryGoneError('history dropped', context=path)
        if answer.status != OK:
            raise PlatformError(f'status {answer.status}', context=path)
        return body
