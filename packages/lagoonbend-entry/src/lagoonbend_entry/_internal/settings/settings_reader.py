"""Reads and validates settings files."""

import configparser
import difflib
import pathlib
import typing
from typing import TypeVar

from lagoonbend.exceptions import SettingsError
from lagoonbend.routing import POLICIES
from lagoonbend.scheduling import CALL_AGES
from lagoonbend.scheduling import CUSTOMER_ORDERS
from lagoonbend.scheduling import KEPT_PROMPTS
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend_entry._internal.settings import gateway_settings
from lagoonbend_entry._internal.settings.field_kind import find_kind
from lagoonbend_entry._internal.settings.settings import Settings

Sections = TypeVar('Sections')
REGISTRIES: dict[str, typing.Mapping[str, object]] = {
    'call_age': CALL_AGES,
    'customer_order': CUSTOMER_ORDERS,
    'kept_prompts': KEPT_PROMPTS,
    'policy': POLICIES,
    'rank_order': RANK_ORDERS,
}


def read_settings(path: pathlib.Path) -> Settings:
    """Read the settings of an instance from an INI file.

    :raises SettingsError: on the first fault, with file, section and key.
    """
    return read_sections(path, Settings)


def is_gateway_file(path: pathlib.Path) -> bool:
    """Return True for the settings that ``read_gateway_settings`` reads."""
    return _parse_file(path).has_section('listen')


def read_gateway_settings(
    path: pathlib.Path,
) -> gateway_settings.GatewaySettings:
    """Read the settings of an instance that uses a published platform.

    :raises SettingsError: on the first fault, with file, section and key.
    """
    return read_sections(path, gateway_settings.GatewaySettings)


def read_sections(path: pathlib.Path, cls: type[Sections]) -> Sections:
    """Read an INI file into a named tuple that has a field per section.

    :param cls: named tuple class whose fields are named tuples, one for each
        section.
    :raises SettingsError: on the first fault, with file, section and key.
    """
    parser = _parse_file(path)
    sections = typing.get_type_hints(cls)
    for section in parser.sections():
        if section not in sections:
            raise _build_error(
                path,
                section,
                None,
                'unknown section',
                _suggest(section, sections),
            )
    values: dict[str, typing.Any] = {
        section: _read_section(path, parser, section, section_cls)
        for section, section_cls in sections.items()
    }
    return cls(**values)


def _parse_file(path: pathlib.Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = path.read_text(encoding='utf-8')
        parser.read_string(text, source=str(path))
    except OSError as error:
        raise SettingsError(
            str(error.strerror),
            context=str(path),
            hint='expected a readable INI file',
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(
            ' '.join(str(error).split()),
            context=str(path),
            hint='expected "key = value" under a [section]',
        ) from error
    return parser


def _read_section(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    section: str,
    cls: type,
) -> tuple[object, ...]:
    fields = list(typing.get_type_hints(cls))
    given = dict(parser[section]) if section in parser else {}
    for key in given:
        if key not in fields:
            hint = _suggest(key, fields)
            raise _build_error(path, section, key, 'unknown key', hint)
    values = {
        key: _parse_value(path, section, key, text)
        for key, text in given.items()
    }
    defaults: dict[str, object] = getattr(cls, '_field_defaults', {})
    for key in fields:
        if key not in values and key not in defaults:
            expected = f'expected {find_kind(key).expected}'
            raise _build_error(path, section, key, 'missing key', expected)
    section_values: tuple[object, ...] = cls(**values)
    return section_values


def _parse_value(
    path: pathlib.Path, section: str, key: str, text: str
) -> str | int | float:
    kind = find_kind(key)
    try:
        value = kind.parse(text)
    except ValueError as error:
        raise _build_error(
            path,
            section,
            key,
            f'found {text!r}',
            f'expected {kind.expected}',
        ) from error
    registry = REGISTRIES.get(key)
    if registry is not None and value not in registry:
        names = ', '.join(sorted(registry))
        raise _build_error(
            path, section, key, f'found {text!r}', f'expected one of {names}'
        )
    return value


def _build_error(
    path: pathlib.Path,
    section: str,
    key: str | None,
    message: str,
    hint: str,
) -> SettingsError:
    where = f'{path}: [{section}]' + (f' {key}' if key else '')
    return SettingsError(message, context=where, hint=hint)


def _suggest(name: str, known: typing.Iterable[str]) -> str:
    names = sorted(known)
    stem = name.rsplit('_', 1)[0]
    close_matches = [item for item in names if item.rsplit('_', 1)[0] == stem]
    close_matches = close_matches or difflib.get_close_matches(
        name, names, n=1
    )
    return 'expected ' + (
        close_matches[0] if close_matches else ', '.join(names)
    )
