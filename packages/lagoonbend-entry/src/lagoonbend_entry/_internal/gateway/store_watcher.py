"""Keeps the facts up to date from the platform's store."""

from collections.abc import Callable

import gevent

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.coordination.peer_links import PING_INTERVAL_MS
from lagoonbend_entry._internal.gateway import facts_cache
from lagoonbend_entry._internal.gateway.fact_ages import DEFAULT_AGES
from lagoonbend_entry._internal.gateway.fact_ages import FactAges
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.models.items_page import ItemsPage
from lagoonbend_entry._internal.models.store_error import HistoryLostError
from lagoonbend_entry._internal.models.store_error import PageTooSlowError
from lagoonbend_entry._internal.platform.store_client import StoreClient
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

SHORT_WATCH_WAIT_MS = 300
"""Time for which the store holds the watch open that follows an answer with
changes: such an answer confirms the facts only for the time at which its watch
began."""
MIN_RETRY_MS = 100
MAX_RETRY_MS = 800
"""Range of the pause after a failed request, which doubles each time; a
rejected request isn't free either."""
PAUSE_AFTER_CHANGES_MS = 100
"""Pause after changes, so that a series of changes takes few requests."""
READER_CHECK_INTERVAL_MS = 250
"""Interval at which an instance that isn't reading checks whether it must."""
MAX_LOGGED_REJECTIONS = 5
"""Entries of one answer that can't be read and are logged."""
MILLISECONDS_PER_SECOND = 1000


class StoreWatcher:
    """Lists all items once and then watches for changes.

    :param facts: cache to update.
    :param client: client of the store.
    :param clock: clock of the instance.
    :param is_store_reader: returns True if the instance is one of those that
        always read the store; the others read it only when the facts they
        receive from peers are too old.
    :param ages: ages of the facts at which that is done.
    :param get_heartbeat_ms: returns the interval of heartbeats.
    """

    def __init__(
        self,
        facts: FactsCache,
        client: StoreClient,
        clock: Clock,
        is_store_reader: Callable[[], bool],
        ages: FactAges = DEFAULT_AGES,
        get_heartbeat_ms: Callable[[], int] = lambda: PING_INTERVAL_MS,
    ) -> None:
        self.is_store_reachable = False
        self._facts = facts
        self._client = client
        self._clock = clock
        self._is_store_reader = is_store_reader
        self._needs_listing = True
        self._ages = ages
        self._get_heartbeat_ms = get_heartbeat_ms
        self._needs_short_watch = False
        self._has_reached_store = False
        self._retry_ms = MIN_RETRY_MS

    def run(self) -> None:
        """Watch until the greenlet is killed."""
        run_guarded('store watch', self._run_once)

    def _run_once(self) -> None:
        age_ms = self._facts.age_ms()
        is_stale = age_ms is None or age_ms >= self._ages.max_peer_ms
        if not is_stale and not self._is_store_reader():
            _sleep(READER_CHECK_INTERVAL_MS)
            return
        try:
            self._read_store()
        except HistoryLostError:
            self._needs_listing = True
        except PageTooSlowError as error:
            # The store is up, so that no registration lapses.
            self._log_failure(Event.FACTS_NOT_CONFIRMED, error)
            self._wait_to_retry()
        except PlatformError as error:
            self._record_failure(error)
            self._wait_to_retry()

    def _wait_to_retry(self) -> None:
        _sleep(self._retry_ms)
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)

    def _read_store(self) -> None:
        sent_ms = self._clock.now_ms()
        era, revision = self._facts.item_cache.position
        if self._needs_listing or self._client.newest_era > era:
            self._list_all(sent_ms, era)
            self._needs_listing = False
            return
        wait_ms = self._get_watch_wait_ms()
        page = self._client.watch('', revision, wait_ms)
        _check_era(page, era)
        log_rejected(page)
        self._record_success()
        if page.era > era:
            # The revision has another meaning there; all is listed next.
            self._needs_short_watch = True
            return
        verified_ms = sent_ms
        if not page.items and self._clock.now_ms() - sent_ms >= wait_ms:
            # The store sends an empty answer only once the wait is over, so it
            # confirms the facts for that time.
            verified_ms += wait_ms
        self._facts.apply_changes(
            page.items, page.revision, verified_ms, page.era
        )
        self._needs_short_watch = bool(page.items) or self._facts.is_settling
        if page.items:
            _sleep(PAUSE_AFTER_CHANGES_MS)

    def _get_watch_wait_ms(self) -> int:
        if self._needs_short_watch:
            return SHORT_WATCH_WAIT_MS
        return self._ages.get_watch_wait_ms(self._get_heartbeat_ms())

    def _list_all(self, sent_ms: int, known_era: int) -> None:
        page = self._client.list_items('', '')
        log_rejected(page)
        era, revision = page.era, page.revision
        items = list(page.items)
        while page.has_more and page.items:
            page = self._client.list_items('', page.items[-1].key)
            if page.era != era:
                raise HistoryLostError(
                    f'era {page.era} within a listing of era {era}',
                    context='platform service',
                )
            log_rejected(page)
            items.extend(page.items)
        _check_era(page, max(known_era, self._client.newest_era))
        self._record_success()
        if era > known_era:
            self._needs_short_watch = True
        self._facts.apply_listing(items, revision, sent_ms, era)

    def _record_success(self) -> None:
        self._retry_ms = MIN_RETRY_MS
        if self.is_store_reachable:
            return
        self.is_store_reachable = True
        if self._has_reached_store:
            log_event(
                Event.PLATFORM_BACK,
                era=self._client.newest_era,
                age_ms=self._facts.age_ms(),
            )
            self._facts.target_directory.record_outage_end(
                self._clock.now_ms()
            )
        self._has_reached_store = True

    def _record_failure(self, error: PlatformError) -> None:
        # A store that has come back is recognised by its answer.
        self._needs_short_watch = True
        if self.is_store_reachable:
            self.is_store_reachable = False
            self._log_failure(Event.PLATFORM_LOST, error)

    def _log_failure(self, event: Event, error: PlatformError) -> None:
        log_event(
            event,
            reason=str(error),
            era=self._facts.item_cache.era,
            revision=self._facts.item_cache.complete_revision,
            age_ms=self._facts.age_ms(),
        )


def _check_era(page: ItemsPage, known_era: int) -> None:
    """Raise PlatformError for an answer of an earlier era."""
    if page.era < known_era:
        raise PlatformError(
            f'answer of era {page.era}, after era {known_era}',
            context='platform service',
        )


def log_rejected(page: ItemsPage) -> None:
    """Log the entries of an answer that can't be read."""
    for reason in page.rejected[:MAX_LOGGED_REJECTIONS]:
        log_event(
            Event.ENTRY_REJECTED,
            reason=reason[: facts_cache.MAX_REASON_CHARACTERS],
            rejected=len(page.rejected),
        )


def _sleep(span_ms: int) -> None:
    gevent.sleep(span_ms / MILLISECONDS_PER_SECOND)
