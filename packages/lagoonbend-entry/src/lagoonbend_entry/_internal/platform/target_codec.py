"""Decodes the registration of a target."""

import ipaddress

import msgspec

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.platform import names

MAX_PORT = 65_535


class _Registration(msgspec.Struct):
    """The fields of a registration that are used; others are ignored."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: object = None
    born: object = None


def decode_target(item: PublishedItem) -> ListedTarget | None:
    """Return the target that an item registers; None if it isn't valid."""
    if item.value is None or not item.key.startswith(names.TARGETS_PREFIX):
        return None
    try:
        entry = msgspec.json.decode(item.value, type=_Registration)
        ip, _, port = entry.address.rpartition(':')
        ipaddress.IPv4Address(ip)
        is_valid = 0 < int(port) <= MAX_PORT and entry.slots > 0
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None
    if not is_valid or entry.state not in names.TARGET_STATES:
        return None
    return ListedTarget(
        target=item.key.removeprefix(names.TARGETS_PREFIX),
        service=entry.service,
        ip=ip,
        port=int(port),
        failure_domain=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state != 'ready',
        software_version=_read_version(entry.version),
        born_ms=_read_born(entry.born),
    )


def _read_version(value: object) -> str | None:
    return value if isinstance(value, str) and value else None


def _read_born(value: object) -> int | None:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return None
