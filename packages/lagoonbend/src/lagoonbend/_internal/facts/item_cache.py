"""What an instance knows of the published items, and since when."""

from collections.abc import Iterable

from lagoonbend._internal.facts.published_item import PublishedItem


class ItemCache:
    """Published items, merged by revision from the platform and from peers.

    An item never goes back to an older revision, whatever a restart, a
    stale read or a peer brings. ``complete_revision`` tells up to which
    revision nothing is missing, ``verified_ms`` at which time that was the
    platform's newest state. Times are of a clock that also counts while the
    machine is suspended.
    """

    def __init__(self) -> None:
        self._items: dict[str, PublishedItem] = {}
        self.complete_revision = 0
        self.verified_ms: int | None = None

    def __iter__(self) -> Iterable[PublishedItem]:
        return iter(self._items.values())

    def find(self, key: str) -> PublishedItem | None:
        """Return the newest known state of an item."""
        return self._items.get(key)

    def merge(self, items: Iterable[PublishedItem]) -> list[PublishedItem]:
        """Take in items; return those that were news."""
        return [item for item in items if self._take(item)]

    def replace(
        self, prefix: str, items: Iterable[PublishedItem], revision: int
    ) -> list[PublishedItem]:
        """Take in a whole listing; return what was news.

        :param prefix: every item whose key begins with it was listed.
        :param revision: the listing shows at least this revision; a known
            item that is not listed and not newer was removed.
        """
        listed = list(items)
        present = {item.key for item in listed}
        gone = [
            PublishedItem(item.key, revision, None)
            for item in self._items.values()
            if item.key.startswith(prefix)
            and item.key not in present
            and item.value is not None
            and item.revision <= revision
        ]
        return self.merge(listed + gone)

    def mark_verified(self, revision: int, at_ms: int) -> None:
        """Note that nothing up to ``revision`` was missing at ``at_ms``.

        A proof from a peer whose revision is not reached here is ignored.
        """
        if revision < self.complete_revision:
            return
        self.complete_revision = revision
        if self.verified_ms is None or at_ms > self.verified_ms:
            self.verified_ms = at_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last proof; None before the first."""
        if self.verified_ms is None:
            return None
        return max(0, now_ms - self.verified_ms)

    def list_since(self, revision: int) -> list[PublishedItem]:
        """Return the items that changed after ``revision``."""
        return [
            item for item in self._items.values() if item.revision > revision
        ]

    def _take(self, item: PublishedItem) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items[item.key] = item
        return True
