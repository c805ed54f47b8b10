"""Asks the store at once whether the facts are current."""

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.shared_read import SharedRead
from lagoonbend_entry._internal.gateway.store_watcher import log_rejected
from lagoonbend_entry._internal.platform.store_client import StoreClient
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

CONFIRM_TIMEOUT_MS = 200
"""Time for the store to answer, which takes a few milliseconds when it is
sound; a caller waits meanwhile."""


class FactsConfirmer:
    """Reads the changes of the store apart from the watch.

    The watch tells of changes as they are made, but an instance that is cut
    off or has stood still can't know that it has missed one. Callers that ask
    at the same time share a read.

    :param facts: facts to confirm; changes are applied to them.
    :param client: client of the store, used for nothing else.
    :param clock: clock of the instance.
    """

    def __init__(
        self, facts: FactsCache, client: StoreClient, clock: Clock
    ) -> None:
        self._facts = facts
        self._client = client
        self._clock = clock
        self._shared_read = SharedRead(self._read, clock)

    def confirm(self) -> bool:
        """Return True if the facts hold all changes made before this call."""
        return self._shared_read.run()

    def _read(self) -> bool:
        era, revision = self._facts.item_cache.position
        is_complete = False
        sent_ms = self._clock.now_ms()
        try:
            page = self._client.watch('', revision, 0)
            is_complete = True
        except PlatformError as error:
            log_event(
                Event.FACTS_NOT_CONFIRMED,
                reason=str(error),
                era=era,
                revision=revision,
                age_ms=self._facts.age_ms(),
            )
            return False
        finally:
            if not is_complete:
                # An answer that arrives later must not count for another read.
                self._client.close()
        log_rejected(page)
        if page.era != era:
            return False
        self._facts.apply_changes(page.items, page.revision, sent_ms, page.era)
        return True
