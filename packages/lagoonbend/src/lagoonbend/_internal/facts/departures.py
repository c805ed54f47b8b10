"""Targets that are known to leave, or to be gone."""

from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.published_item import PublishedItem

MAX_DEPARTURES = 4_096
"""Targets kept at most, the oldest of which are dropped; several times the
600 targets of the largest fleet, since most restarts bring a new identity."""


class _Departure(NamedTuple):
    """A target as it was last listed, and the era in which it left."""

    target: ListedTarget
    era: int


class Departures:
    """Keeps which lives of targets left, so that no older copy undoes it.

    Within the era in which a target left, its newest registration counts.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, _Departure] = {}

    def record(self, key: str, target: ListedTarget, era: int) -> None:
        """Record that a target leaves, or that it was removed.

        Ignored if a later life of it is known to have left.

        :param key: key of its item.
        :param target: target as last listed.
        :param era: era of the store that says so.
        """
        known = self._by_key.get(key)
        if known is not None and target.is_followed_by(known.target):
            return
        self._by_key.pop(key, None)
        self._by_key[key] = _Departure(target, era)
        if len(self._by_key) > MAX_DEPARTURES:
            del self._by_key[next(iter(self._by_key))]

    def forget(self, key: str) -> None:
        """Forget the departure of a target that is alive."""
        self._by_key.pop(key, None)

    def find(
        self, target: ListedTarget, item: PublishedItem
    ) -> ListedTarget | None:
        """Return the target of an item as it was when it left.

        :returns: None if it didn't, or is a new life of it.
        """
        known = self._by_key.get(item.key)
        if known is None or not target.is_same_life(known.target):
            return None
        if item.era > known.era:
            return known.target
        self.forget(item.key)
        return None
