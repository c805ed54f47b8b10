"""Decodes the answers of the platform's store."""

import binascii
from typing import TypeVar

import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import NO_ERA
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.models.items_page import ItemsPage
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

Answer = TypeVar('Answer')


class _WireItem(msgspec.Struct):
    """An item; ``tombstone`` is True for one that was removed."""

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False
    created: object = None


class _RangeAnswer(msgspec.Struct, rename='kebab'):
    """A page of a listing; ``has-more`` is True if others follow."""

    entries: list[msgspec.Raw]
    as_of: int
    has_more: bool = False


class _WatchAnswer(msgspec.Struct, rename='kebab'):
    """Changes since a revision."""

    events: list[msgspec.Raw]
    as_of: int


def decode_era(header_map: dict[str, str]) -> int:
    """Return the era that an answer states; NO_ERA if there is none.

    :raises PlatformError: if it is no number.
    """
    text = header_map.get(names.HEADER_STORE_ERA)
    if text is None:
        return NO_ERA
    era = bounded.read_digits(text)
    if era is None:
        raise PlatformError(
            f'era {text[:40]!r} is no number', context=names.HEADER_STORE_ERA
        )
    return era


def decode_listing(content: bytes, era: int) -> ItemsPage:
    """Return the items of a listing; raise PlatformError if unreadable."""
    answer = _decode(content, _RangeAnswer)
    return _read_page(answer.entries, answer.as_of, answer.has_more, era)


def decode_changes(content: bytes, era: int) -> ItemsPage:
    """Return the changes of a watch; raise PlatformError if unreadable."""
    answer = _decode(content, _WatchAnswer)
    return _read_page(answer.events, answer.as_of, False, era)


def _decode(content: bytes, cls: type[Answer]) -> Answer:
    try:
        return bounded.decode_json(content, cls, context='answer')
    except DocumentError as error:
        raise PlatformError(str(error), context='platform service') from error


def _read_page(
    entries: list[msgspec.Raw], revision: int, has_more: bool, era: int
) -> ItemsPage:
    if not 0 <= revision <= bounded.MAX_INTEGER:
        raise PlatformError('revision out of range', context='answer')
    items: list[PublishedItem] = []
    rejected: list[str] = []
    for entry in entries:
        try:
            items.append(_read_item(bytes(entry), era))
        except DocumentError as error:
            rejected.append(str(error))
    return ItemsPage(tuple(items), revision, has_more, era, tuple(rejected))


def _read_item(entry: bytes, era: int) -> PublishedItem:
    item = bounded.decode_json(entry, _WireItem, context='item')
    if not 0 <= item.revision <= bounded.MAX_INTEGER:
        raise DocumentError('revision out of range', context=ascii(item.key))
    if item.tombstone or item.value is None:
        return PublishedItem(item.key, item.revision, None, era)
    try:
        value = binascii.a2b_base64(item.value)
    except (binascii.Error, ValueError):
        value = b''
    created_revision = bounded.read_optional(item.created, 1, item.revision)
    return PublishedItem(item.key, item.revision, value, era, created_revision)
