"""Kinds of settings values, selected by the name of the key."""

from collections.abc import Callable
import ipaddress
import re
from typing import NamedTuple

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
HASH_PATTERN = re.compile(r'[0-9a-f]{32}:[0-9a-f]{128}')
MAX_PORT = 65_535
MAX_DECIMAL = 1e9


class FieldKind(NamedTuple):
    """How the value of a key is parsed.

    :param expected: description of valid values, for error messages.
    :param parse: returns the parsed value; raises ValueError.
    """

    expected: str
    parse: Callable[[str], str | int | float]


def find_kind(key: str) -> FieldKind:
    """Return the kind of a key according to its name or its suffix."""
    for suffix, kind in KINDS_BY_SUFFIX.items():
        if key == suffix or key.endswith('_' + suffix):
            return kind
    return NAME_KIND


def _parse_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _parse_port(text: str) -> int:
    port = _parse_integer(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(text)
    return port


def _parse_integer(text: str) -> int:
    if not text.isascii() or not text.isdecimal():
        raise ValueError(text)
    return int(text)


def _parse_positive_integer(text: str) -> int:
    number = _parse_integer(text)
    if number == 0:
        raise ValueError(text)
    return number


def _parse_addresses(text: str) -> str:
    for item in text.split():
        ip, _, port = item.rpartition(':')
        _parse_ip(ip)
        _parse_port(port)
    return text


def _parse_endpoint(text: str) -> str:
    if len(text.split()) != 1:
        raise ValueError(text)
    return _parse_addresses(text)


def _parse_decimal(text: str) -> float:
    number = float(text)
    if not 0 <= number < MAX_DECIMAL:
        raise ValueError(text)
    return number


def _parse_hash(text: str) -> str:
    if not HASH_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_switch(text: str) -> str:
    if text not in ('on', 'off'):
        raise ValueError(text)
    return text


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


NAME_KIND = FieldKind(
    'a name of letters, digits, ".", "_" and "-"', _parse_name
)
KINDS_BY_SUFFIX = {
    'address': FieldKind('an IP address such as 127.0.0.1', _parse_ip),
    'addresses': FieldKind('ip:port, separated by blanks', _parse_addresses),
    'endpoint': FieldKind('ip:port, such as 127.0.0.1:80', _parse_endpoint),
    'endpoints': FieldKind('ip:port, separated by blanks', _parse_addresses),
    'ratio': FieldKind('a number such as 0.2', _parse_decimal),
    'slack': FieldKind('a number such as 50', _parse_decimal),
    's': FieldKind('seconds without a unit, such as 2.5', _parse_decimal),
    'hash': FieldKind(
        'what "lagoonbend console password" printed', _parse_hash
    ),
    'links': FieldKind('on or off', _parse_switch),
    'port': FieldKind('a TCP port from 1 to 65535', _parse_port),
    'ms': FieldKind(
        'whole milliseconds without a unit, such as 500', _parse_integer
    ),
    'bytes': FieldKind(
        'whole bytes without a unit, such as 65536', _parse_positive_integer
    ),
    'capacity': FieldKind('a whole number above 0', _parse_positive_integer),
    'limit': FieldKind('a whole number above 0', _parse_positive_integer),
}
