"""A key and its value, as published by the platform."""

from typing import NamedTuple


class PublishedItem(NamedTuple):
    """The newest state of a key of the platform, or its removal.

    The platform publishes the configuration and each target as one item.

    :param key: key of the item.
    :param revision: revision of its last change.
    :param value: content in bytes; None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None
