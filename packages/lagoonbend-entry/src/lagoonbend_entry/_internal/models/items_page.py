"""Published items in one answer of the platform's store."""

from typing import NamedTuple

from lagoonbend.facts import PublishedItem


class ItemsPage(NamedTuple):
    """Items in one answer of the store.

    :param items: items in the order of the answer.
    :param revision: revision of the store when it answered.
    :param has_more: True if a listing continues after the last item.
    :param era: era of the store when it answered.
    :param rejected: errors of the items that can't be read.
    """

    items: tuple[PublishedItem, ...]
    revision: int
    has_more: bool
    era: int
    rejected: tuple[str, ...] = ()
