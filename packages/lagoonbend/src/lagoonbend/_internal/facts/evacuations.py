"""Failure domains whose targets operators have evacuated."""

from collections.abc import Callable
from collections.abc import Iterable

from lagoonbend._internal.exceptions import DocumentError
from lagoonbend._internal.facts.published_item import PublishedItem

MAX_NAME_LENGTH = 128


class Evacuations:
    """Keeps which failure domains get no calls at their targets.

    The removal of an item ends its evacuation. One that a store lost because
    it came back from an older copy may be written again, so it stays in force
    until ``expire`` is called. A key that names no domain is ignored;
    ``on_unreadable`` is called with the error.

    :param prefix: begin of the keys that end with the name of an evacuated
        domain. Their values have no meaning.
    """

    def __init__(self, prefix: str) -> None:
        self.on_unreadable: Callable[[DocumentError], None] = _ignore
        self._prefix = prefix
        self._items: dict[str, PublishedItem] = {}
        self._lost: set[str] = set()

    @property
    def domains(self) -> frozenset[str]:
        """Domains whose targets get no calls."""
        return frozenset(self._items)

    def apply(self, items: Iterable[PublishedItem]) -> None:
        """Apply changed items of the store."""
        for item in items:
            if not item.key.startswith(self._prefix):
                continue
            domain = item.key.removeprefix(self._prefix)
            if not domain.isprintable() or not (
                0 < len(domain) <= MAX_NAME_LENGTH
            ):
                self._report(item)
                continue
            known = self._items.get(domain)
            if item.value is not None:
                self._items[domain] = item
                self._lost.discard(domain)
            elif known is not None and known.era < item.era:
                self._lost.add(domain)
            else:
                self._items.pop(domain, None)
                self._lost.discard(domain)

    def expire(self) -> None:
        """End what the store has lost and nobody has written again."""
        for domain in self._lost:
            del self._items[domain]
        self._lost.clear()

    def _report(self, item: PublishedItem) -> None:
        if item.value is not None:
            self.on_unreadable(
                DocumentError(
                    'the key names no failure domain',
                    context=ascii(item.key[:80]),
                )
            )


def _ignore(error: DocumentError) -> None:
    """Do nothing with an unreadable item."""
