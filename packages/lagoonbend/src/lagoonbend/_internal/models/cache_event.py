"""A target's word about its cache of prompt prefixes."""

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """A prefix that was cached or dropped; late, and some are lost.

    :param target: name of the target.
    :param prefix: hash of the prefix.
    :param is_cached: True if it is cached now, False if it was dropped.
    """

    target: str
    prefix: int
    is_cached: bool
