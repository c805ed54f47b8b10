"""Prompt prefixes that a target is believed to have cached."""

import collections

MAX_PREFIXES = 4_096
"""Maximum number of prefixes kept per target, and the assumed capacity of its
cache until it reports an eviction."""


class CachedPrefixes:
    """An estimate of the prefix cache of a target, in LRU order.

    It holds the prefixes that the target has computed, less those that it
    reported as evicted. The cache's capacity is estimated from its evictions.
    """

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[int, None]
        self._prefixes = collections.OrderedDict()
        self._capacity = MAX_PREFIXES

    def __contains__(self, prefix: int) -> bool:
        return prefix in self._prefixes

    def __len__(self) -> int:
        return len(self._prefixes)

    @property
    def is_full(self) -> bool:
        """True if adding a prefix is expected to evict another one."""
        return len(self._prefixes) >= self._capacity

    def add(self, prefix: int) -> None:
        """Record that a prefix was used."""
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def remove(self, prefix: int) -> None:
        """Record that the target has evicted a prefix."""
        if prefix not in self._prefixes:
            return
        del self._prefixes[prefix]
        self._capacity = max(1, len(self._prefixes))
