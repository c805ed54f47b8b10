"""Prompt prefixes that a target is believed to have cached."""

import collections

GREATEST_PREFIXES = 4_096


class PrefixMemory:
    """The prefixes that were computed at a target, less those it dropped.

    The size of the target's cache is learned from what it drops.
    """

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[int, None]
        self._prefixes = collections.OrderedDict()
        self._capacity = GREATEST_PREFIXES

    def __contains__(self, prefix: int) -> bool:
        return prefix in self._prefixes

    def __len__(self) -> int:
        return len(self._prefixes)

    @property
    def is_full(self) -> bool:
        """True if another prefix is expected to push one out."""
        return len(self._prefixes) >= self._capacity

    def add(self, prefix: int) -> None:
        """Note that a prefix was used."""
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > GREATEST_PREFIXES:
            self._prefixes.popitem(last=False)

    def drop(self, prefix: int) -> None:
        """Note that the target has dropped a prefix."""
        if prefix not in self._prefixes:
            return
        del self._prefixes[prefix]
        self._capacity = max(1, len(self._prefixes))
