"""Keeps the facts up to date from the platform's service."""

from collections.abc import Callable

import gevent

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.platform.store_client import HistoryGoneError
from lagoonbend_entry._internal.platform.store_client import StoreClient
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

WATCH_MS = 1_800
"""Time that one watch waits: its answer proves that the facts are the
newest, and calls of customers need a proof of the last seconds."""
QUICK_WATCH_MS = 300
"""The same after changes: an answer with changes proves only that they were
the newest when the watch began."""
FIRST_RETRY_MS = 100
LONGEST_RETRY_MS = 800
"""Pauses after failed calls; a refused call has its price too."""
SETTLE_MS = 100
"""Pause after changes, so that a series of them costs few calls."""
STALE_MS = 3_000
"""Age of facts from peers at which an instance reads by itself."""
IDLE_CHECK_MS = 250
"""Time between looks at whether this instance has to read."""
MILLISECONDS_PER_SECOND = 1000


class StoreWatcher:
    """Reads all items once, and then their changes.

    :param facts: where facts go.
    :param client: client of the service.
    :param clock: clock of the instance.
    :param is_store_reader: returns True if the instance is one of those that
        always read; others read when what peers tell is too old.
    """

    def __init__(
        self,
        facts: FactsCache,
        client: StoreClient,
        clock: Clock,
        is_store_reader: Callable[[], bool],
    ) -> None:
        self.is_answering = False
        self._facts = facts
        self._client = client
        self._clock = clock
        self._is_reader = is_store_reader
        self._needs_listing = True
        self._watch_ms = WATCH_MS
        self._was_answering = False
        self._retry_ms = FIRST_RETRY_MS

    def run(self) -> None:
        """Watch until killed."""
        run_guarded('store watch', self._step)

    def _step(self) -> None:
        age_ms = self._facts.age_ms()
        is_stale = age_ms is None or age_ms >= STALE_MS
        if not is_stale and not self._is_reader():
            _sleep(IDLE_CHECK_MS)
            return
        try:
            self._read_once()
        except HistoryGoneError:
            self._needs_listing = True
        except PlatformError as error:
            self._note_failure(error)
            _sleep(self._retry_ms)
            self._retry_ms = min(2 * self._retry_ms, LONGEST_RETRY_MS)

    def _read_once(self) -> None:
        sent_ms = self._clock.now_ms()
        if self._needs_listing:
            self._list_all(sent_ms)
            self._needs_listing = False
            return
        wait_ms = self._watch_ms
        page = self._client.watch(
            '', self._facts.item_cache.complete_revision, wait_ms
        )
        self._note_success()
        verified_ms = sent_ms
        if not page.items and self._clock.now_ms() - sent_ms >= wait_ms:
            # An empty answer is written when the wait is over.
            verified_ms += wait_ms
        self._facts.apply_changes(
            page.items, page.revision, verified_ms, 'watch'
        )
        self._watch_ms = QUICK_WATCH_MS if page.items else WATCH_MS
        if page.items:
            _sleep(SETTLE_MS)

    def _list_all(self, sent_ms: int) -> None:
        page = self._client.list_items('', '')
        revision = page.revision
        items = list(page.items)
        while page.has_more and page.items:
            page = self._client.list_items('', page.items[-1].key)
            items.extend(page.items)
        self._note_success()
        self._facts.apply_listing(items, revision, sent_ms)

    def _note_success(self) -> None:
        self._retry_ms = FIRST_RETRY_MS
        if self.is_answering:
            return
        self.is_answering = True
        if self._was_answering:
            log_event(Event.PLATFORM_BACK, age_ms=self._facts.age_ms())
            self._facts.target_directory.record_outage_end(
                self._clock.now_ms()
            )
        self._was_answering = True

    def _note_failure(self, error: PlatformError) -> None:
        if self.is_answering:
            self.is_answering = False
            log_event(
                Event.PLATFORM_LOST,
                reason=str(error),
                age_ms=self._facts.age_ms(),
            )


def _sleep(span_ms: int) -> None:
    gevent.sleep(span_ms / MILLISECONDS_PER_SECOND)
