"""Watches a value that the platform publishes."""

from collections.abc import Callable

import gevent

from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.network.platform import platform_reader
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MILLISECONDS_PER_SECOND = 1000


class PlatformWatcher:
    """Watches one value and passes each change on.

    :param name: name of the value, for logs.
    :param reader: client for the platform.
    :param apply: called with each new value.
    :param retry_ms: delay after a failed call.
    """

    def __init__(
        self,
        name: str,
        reader: platform_reader.PlatformReader,
        apply: Callable[[bytes], None],
        *,
        retry_ms: int,
    ) -> None:
        self._name = name
        self._reader = reader
        self._apply = apply
        self._retry_s = retry_ms / MILLISECONDS_PER_SECOND
        self._version = ''
        self.failures = 0

    def run(self) -> None:
        """Watch until the greenlet is killed."""
        while True:
            try:
                self._step()
            except PlatformError as error:
                self._record_failure(error)
                gevent.sleep(self._retry_s)

    def _step(self) -> None:
        reading = self._reader.watch(self._version)
        if self.failures:
            log_event(Event.PLATFORM_BACK, value=self._name)
            self.failures = 0
        if reading is None:
            return
        self._apply(reading.body)
        self._version = reading.version

    def _record_failure(self, error: PlatformError) -> None:
        if not self.failures:
            log_event(Event.PLATFORM_LOST, value=self._name, reason=str(error))
        self.failures += 1
