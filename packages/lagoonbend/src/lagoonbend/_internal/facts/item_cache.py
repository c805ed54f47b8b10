"""Cache of the platform's published items."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend._internal.facts.published_item import NO_ERA
from lagoonbend._internal.facts.published_item import PublishedItem


class ItemCache:
    """Published items, merged by position from the platform and from peers.

    A position is an era of the store and a revision. An item never reverts to
    an older position, whether through a restart, a stale read or a peer. A
    removed item is kept without its value, so that an older state of it is
    still recognised. No change of the store's ``era`` up to
    ``complete_revision`` is missing, and ``verified_ms`` is the last time at
    which this was confirmed to be the newest state of the platform. Times are
    those of a clock that also advances while the machine is suspended.
    Removals are known from ``history_start`` on, the position of the last
    listing that was newer than what was known.
    """

    def __init__(self) -> None:
        self._items: dict[str, PublishedItem] = {}
        self.era = NO_ERA
        self.complete_revision = 0
        self.history_start = (NO_ERA, 0)
        self.verified_ms: int | None = None

    def __iter__(self) -> Iterator[PublishedItem]:
        return iter(self._items.values())

    @property
    def position(self) -> tuple[int, int]:
        """Position up to which nothing is missing."""
        return (self.era, self.complete_revision)

    def find(self, key: str) -> PublishedItem | None:
        """Return the newest known state of an item."""
        return self._items.get(key)

    def merge(self, items: Iterable[PublishedItem]) -> list[PublishedItem]:
        """Merge items; return those that were newer than the known ones."""
        return [item for item in items if self._store_if_newer(item)]

    def put(self, item: PublishedItem) -> None:
        """Store an item whatever its position is."""
        self._items[item.key] = item

    def replace(
        self,
        prefix: str,
        items: Iterable[PublishedItem],
        revision: int,
        era: int = NO_ERA,
    ) -> list[PublishedItem]:
        """Apply a complete listing; return the items that changed.

        :param prefix: all items whose key starts with it were listed.
        :param revision: the listing contains all changes up to it, and perhaps
            newer ones. A known item that is not listed was removed, unless
            its last change is newer than this.
        :param era: era of the listing.
        """
        listed = list(items)
        present = {item.key for item in listed}
        return self._merge_complete(prefix, listed, present, (era, revision))

    def merge_changes(
        self,
        items: Iterable[PublishedItem],
        live_keys: Iterable[str],
        revision: int,
        era: int,
    ) -> list[PublishedItem]:
        """Merge changes, and remove what no longer exists.

        :param items: all items of the era that changed after the position of
            this cache and that still exist.
        :param live_keys: keys of all items that exist at the given position.
        :returns: items that changed.
        """
        return self._merge_complete(
            '', list(items), set(live_keys), (era, revision)
        )

    def _merge_complete(
        self,
        prefix: str,
        items: list[PublishedItem],
        present: set[str],
        position: tuple[int, int],
    ) -> list[PublishedItem]:
        era, revision = position
        self.history_start = max(
            self.history_start,
            position if position > self.position else (NO_ERA, 0),
        )
        removed = [
            PublishedItem(item.key, revision, None, era)
            for item in self._items.values()
            if item.key.startswith(prefix)
            and item.key not in present
            and item.value is not None
            and item.position <= position
        ]
        return self.merge(items + removed)

    def mark_verified(
        self, revision: int, at_ms: int | None, era: int = NO_ERA
    ) -> None:
        """Record that no change up to ``revision`` was missing at ``at_ms``.

        Ignored if the position is older than what is known here, as from a
        peer that lags behind.

        :param at_ms: None if nothing is missing, but newer changes may exist
            that the store has lost.
        """
        if (era, revision) < self.position:
            return
        self.era = era
        self.complete_revision = revision
        if at_ms is None:
            return
        if self.verified_ms is None or at_ms > self.verified_ms:
            self.verified_ms = at_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the last confirmation, if there was one."""
        if self.verified_ms is None:
            return None
        return max(0, now_ms - self.verified_ms)

    def list_since(
        self, revision: int, era: int | None = None
    ) -> list[PublishedItem]:
        """Return the items that changed after a position.

        :param era: None if the revision alone counts, as for a peer that
            knows no eras.
        """
        if era is None:
            return [
                item
                for item in self._items.values()
                if item.revision > revision
            ]
        return [
            item
            for item in self._items.values()
            if item.position > (era, revision)
        ]

    def _store_if_newer(self, item: PublishedItem) -> bool:
        known = self._items.get(item.key)
        # Of an item that isn't known, nothing up to this position is left.
        newest = self.position if known is None else known.position
        if newest >= item.position:
            return False
        self._items[item.key] = item
        return True
