"""Reads from the store which targets have ended."""

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.shared_read import SharedRead
from lagoonbend_entry._internal.models.store_error import HistoryLostError
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.platform.store_client import StoreClient
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

STEP_FACTOR = 4
"""Factor by which the search goes back further each time."""


class HistoryReader:
    """Reads the oldest changes that the store still has, and all since.

    What an instance has not followed itself is known from there only. The
    store keeps its changes for a time, not a number, so that the oldest one is
    searched for.

    :param facts: facts to which the changes are applied.
    :param client: client of the store, used for nothing else.
    :param clock: clock of the instance.
    :param history_ms: time for which the store keeps changes.
    """

    def __init__(
        self,
        facts: FactsCache,
        client: StoreClient,
        clock: Clock,
        history_ms: int,
    ) -> None:
        self._facts = facts
        self._client = client
        self._clock = clock
        self._history_ms = history_ms
        self._read_count = 0
        self._shared_read = SharedRead(self._read, clock)

    def read(self) -> bool:
        """Let the facts know what has ended; return False if that fails."""
        return self._shared_read.run()

    def _read(self) -> bool:
        if self._facts.knows_ends():
            return True
        era, newest = self._facts.item_cache.position
        since_ms = self._clock.now_ms() - self._history_ms
        self._read_count = 0
        is_complete = False
        try:
            oldest, items = self._search(era, newest)
            is_complete = True
        except PlatformError as error:
            log_event(Event.HISTORY_NOT_READ, reason=str(error), era=era)
            return False
        finally:
            if not is_complete:
                # An answer that arrives later must not count for another read.
                self._client.close()
        self._facts.target_directory.apply_history(
            items, oldest, since_ms, self._clock.now_ms()
        )
        log_event(
            Event.HISTORY_READ,
            era=era,
            oldest=oldest,
            newest=newest,
            changes=len(items),
            reads=self._read_count,
            unknown_ends=self._facts.target_directory.unknown_end_count,
        )
        return True

    def _search(
        self, era: int, newest: int
    ) -> tuple[int, tuple[PublishedItem, ...]]:
        """Return the oldest revision that can be watched, and the changes."""
        oldest, items = newest, self._watch(era, newest, newest)
        lost = -1
        step = 1
        while oldest - lost > 1:
            middle = max(oldest - step, lost + 1)
            if lost >= 0:
                middle = (oldest + lost) // 2
            try:
                oldest, items = middle, self._watch(era, middle, newest)
            except HistoryLostError:
                lost = middle
            step *= STEP_FACTOR
        return oldest, items

    def _watch(
        self, era: int, revision: int, newest: int
    ) -> tuple[PublishedItem, ...]:
        """Return the changes after a revision, up to the newest at least."""
        self._read_count += 1
        page = self._client.watch(names.TARGETS_PREFIX, revision, 0)
        if page.era != era:
            raise PlatformError(
                f'era {page.era} in place of {era}', context='store history'
            )
        if page.revision < newest or page.rejected:
            raise PlatformError(
                f'part of the history, up to {page.revision} of {newest}, '
                f'with {len(page.rejected)} unreadable changes',
                context='store history',
            )
        return page.items
