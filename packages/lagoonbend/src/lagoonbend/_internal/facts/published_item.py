"""One item of the platform's service."""

from typing import NamedTuple


class PublishedItem(NamedTuple):
    """An item as it was published, or the mark that it was removed.

    :param key: name of the item.
    :param revision: revision of its last change.
    :param value: content in bytes; None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None
