"""Decodes the answers of the platform's store."""

import binascii
from typing import NamedTuple
from typing import TypeVar

import msgspec

from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import NO_ERA
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.platform import names

MAX_ERA_DIGITS = 15

Answer = TypeVar('Answer')


class _WireItem(msgspec.Struct):
    """An item; ``tombstone`` is True for one that was removed."""

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class _RangeAnswer(msgspec.Struct, rename='kebab'):
    """A page of a listing; ``has-more`` is True if others follow."""

    entries: list[_WireItem]
    as_of: int
    has_more: bool = False


class _WatchAnswer(msgspec.Struct, rename='kebab'):
    """Changes since a revision."""

    events: list[_WireItem]
    as_of: int


class ItemsPage(NamedTuple):
    """Items in one answer of the store.

    :param items: items in the order of the answer.
    :param revision: revision of the store when it answered.
    :param has_more: True if a listing continues after the last item.
    :param era: era of the store when it answered.
    """

    items: tuple[PublishedItem, ...]
    revision: int
    has_more: bool
    era: int


def decode_era(header_map: dict[str, str]) -> int:
    """Return the era that an answer states; NO_ERA if there is none.

    :raises PlatformError: if it is no number.
    """
    text = header_map.get(names.HEADER_STORE_ERA)
    if text is None:
        return NO_ERA
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_ERA_DIGITS:
        raise PlatformError(
            f'era {text[:40]!r} is no number', context=names.HEADER_STORE_ERA
        )
    return int(text)


def decode_listing(content: bytes, era: int) -> ItemsPage:
    """Return the items of a listing; raise PlatformError if unreadable."""
    answer = _decode(content, _RangeAnswer)
    items = tuple(_read_item(item, era) for item in answer.entries)
    return ItemsPage(items, answer.as_of, answer.has_more, era)


def decode_changes(content: bytes, era: int) -> ItemsPage:
    """Return the changes of a watch; raise PlatformError if unreadable."""
    answer = _decode(content, _WatchAnswer)
    items = tuple(_read_item(item, era) for item in answer.events)
    return ItemsPage(items, answer.as_of, False, era)


def _decode(content: bytes, cls: type[Answer]) -> Answer:
    try:
        return msgspec.json.decode(content, type=cls)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f'cannot decode answer: {error}', context='platform service'
        ) from error


def _read_item(item: _WireItem, era: int) -> PublishedItem:
    if item.tombstone or item.value is None:
        return PublishedItem(item.key, item.revision, None, era)
    try:
        value = binascii.a2b_base64(item.value)
    except (binascii.Error, ValueError):
        value = b''
    return PublishedItem(item.key, item.revision, value, era)
