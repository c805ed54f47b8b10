"""Decodes the registration of a target."""

import ipaddress
import re

import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

MAX_PORT = 65_535
MAX_SLOTS = 4_096
"""Hundreds of times the slots of the users' servers. The slots of a service
decide into how many pools it is divided."""
MAX_COLD_MS = 600_000
"""Longest time for which a target may say that it is cold; a longer one is
taken for an error."""
NAME_PATTERN = re.compile(r'[!-~]{1,256}', re.ASCII)
"""A target's identity is sent to it in a header."""
PORT_PATTERN = re.compile(r'\d{1,5}', re.ASCII)


class _Registration(msgspec.Struct):
    """The fields of a registration that are used; others are ignored."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: object = None
    born: object = None
    cold: object = msgspec.field(default=None, name='cold-remaining-ms')


def decode_target(item: PublishedItem) -> ListedTarget | None:
    """Return the target that an item registers.

    :returns: None if the item was removed or is no registration.
    :raises DocumentError: if the registration can't be used.
    """
    if item.value is None or not item.key.startswith(names.TARGETS_PREFIX):
        return None
    context = ascii(item.key)
    entry = bounded.decode_json(item.value, _Registration, context=context)
    try:
        return _read_target(item.key, entry)
    except ValueError as error:
        raise DocumentError(str(error), context=context) from error


def _read_target(key: str, entry: _Registration) -> ListedTarget:
    name = key.removeprefix(names.TARGETS_PREFIX)
    if not NAME_PATTERN.fullmatch(name):
        raise ValueError('the identity is no printable ASCII text')
    ip, _, port = entry.address.rpartition(':')
    ipaddress.IPv4Address(ip)
    if not PORT_PATTERN.fullmatch(port):
        raise ValueError('the port is no number')
    if entry.state not in names.TARGET_STATES:
        raise ValueError(f'state {ascii(entry.state[:40])} is unknown')
    return ListedTarget(
        target=name,
        service=entry.service,
        ip=ip,
        port=bounded.check_integer(int(port), 1, MAX_PORT, 'the port'),
        failure_domain=entry.zone,
        slots=bounded.check_integer(entry.slots, 1, MAX_SLOTS, 'the slots'),
        is_leaving=entry.state != 'ready',
        software_version=entry.version
        if isinstance(entry.version, str) and entry.version
        else None,
        born_ms=bounded.check_optional(entry.born, 'the start'),
        cold_ms=bounded.read_optional(entry.cold, 0, MAX_COLD_MS),
    )
