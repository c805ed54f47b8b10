"""An item published by the platform."""

from typing import NamedTuple


class PublishedItem(NamedTuple):
    """An item, or the record of its removal.

    :param key: key of the item.
    :param revision: revision of its last change.
    :param value: content in bytes; None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None
