"""A change of a target's cache of prompt prefixes."""

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """A prefix was cached or evicted; events arrive late or not at all.

    :param target: name of the target.
    :param prefix: hash of the prefix.
    :param is_cached: True if it is cached now, False if it was evicted.
    """

    target: str
    prefix: int
    is_cached: bool
