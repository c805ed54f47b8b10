"""A key and its value, as published by the platform."""

from typing import NamedTuple

NO_ERA = -1
"""Era of a store, or a peer, that states none; older than any other."""


class PublishedItem(NamedTuple):
    """The newest state of a key of the platform, or its removal.

    The platform publishes the configuration and each target as one item.

    :param key: key of the item.
    :param revision: revision of its last change.
    :param value: content in bytes; None if the item was removed.
    :param era: era of the store in which the item was read; revisions of
        different eras have no order.
    :param created_revision: revision at which the key was written first since
        it didn't exist; None if it isn't known. Peers don't pass it on.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = NO_ERA
    created_revision: int | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, by which the states of an item are ordered."""
        return (self.era, self.revision)
