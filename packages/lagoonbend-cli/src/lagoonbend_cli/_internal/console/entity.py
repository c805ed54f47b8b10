"""Kinds of entries that forms edit."""

import hashlib
from typing import Any
from typing import NamedTuple

from lagoonbend_cli._internal.console import field
from lagoonbend_cli._internal.console.field import Field

YES_NO = ('no', 'yes')
KEY_FIELD = 'bearer_key'


class Entity(NamedTuple):
    """A list of entries in the part.

    :param name: key in the part, and path of the page.
    :param title: heading of the page.
    :param singular: what one entry is called.
    :param fields: fields of an entry; the first is its name.
    """

    name: str
    title: str
    singular: str
    fields: tuple[Field, ...]


ENTITIES: dict[str, Entity] = {}


def register_entity(entity: Entity) -> Entity:
    """Register an entity under its name."""
    ENTITIES[entity.name] = entity
    return entity


register_entity(
    Entity(
        'customers',
        'Customers and limits',
        'customer',
        (
            Field('name', 'Name', field.parse_text),
            Field(
                KEY_FIELD,
                'Bearer key',
                field.parse_text,
                'Only its digest is kept. Leave it empty to keep the key.',
                is_required=False,
                input_type='password',
            ),
            Field(
                'rate_per_s',
                'Requests a second',
                field.parse_rate,
                'Over all instances. Empty means no limit.',
                is_required=False,
            ),
            Field(
                'burst',
                'Burst, requests',
                field.parse_whole,
                is_required=False,
            ),
        ),
    )
)
register_entity(
    Entity(
        'tiers',
        'Tiers',
        'tier',
        (
            Field('name', 'Name', field.parse_text),
            Field('rank', 'Rank', field.parse_whole, '0 is the most urgent.'),
            Field('deadline_ms', 'Deadline, ms', field.parse_whole),
        ),
    )
)
register_entity(
    Entity(
        'rules',
        'Rules',
        'rule',
        (
            Field('name', 'Name', field.parse_text),
            Field('path', 'Path begins with', field.parse_path),
            Field('tier', 'Tier', field.parse_text),
            Field(
                'kind',
                'Kind of target',
                field.parse_text,
                choices=('engine', 'service'),
            ),
            Field(
                'idempotent',
                'May run twice without harm',
                field.parse_yes,
                choices=YES_NO,
            ),
            Field(
                'key_required',
                'Refused without a key',
                field.parse_yes,
                choices=YES_NO,
            ),
            Field(
                'method',
                'Method',
                field.parse_text,
                'Empty means any.',
                is_required=False,
            ),
            Field(
                'model',
                'Model',
                field.parse_text,
                'Empty means any.',
                is_required=False,
            ),
            Field(
                'customer',
                'Customer',
                field.parse_text,
                'Empty means any.',
                is_required=False,
            ),
        ),
    )
)


def read_entry(
    entity: Entity, texts: dict[str, str], old: dict[str, Any] | None
) -> tuple[dict[str, Any], dict[str, str]]:
    """Read an entry from the texts of a form.

    :param old: the entry that is changed; None for a new one.
    :returns: the entry, and what is wrong by field.
    """
    entry: dict[str, Any] = {}
    errors: dict[str, str] = {}
    for item in entity.fields:
        text = texts.get(item.name, '').strip()
        if not text:
            if item.is_required:
                errors[item.name] = 'Fill in this field.'
            continue
        try:
            entry[item.name] = item.parse(text)
        except ValueError as error:
            errors[item.name] = str(error)
    if entity.name == 'customers':
        _read_key(entry, errors, old)
    return entry, errors


def _read_key(
    entry: dict[str, Any],
    errors: dict[str, str],
    old: dict[str, Any] | None,
) -> None:
    key = entry.pop(KEY_FIELD, None)
    if key is not None:
        entry['key_sha256'] = hashlib.sha256(key.encode()).hexdigest()
    elif old is not None:
        entry['key_sha256'] = old['key_sha256']
    else:
        errors[KEY_FIELD] = 'A new customer needs a key.'


def write_texts(entity: Entity, entry: dict[str, Any]) -> dict[str, str]:
    """Return the texts of a form for an entry."""
    texts = {}
    for item in entity.fields:
        value = entry.get(item.name, '')
        if isinstance(value, bool):
            value = 'yes' if value else 'no'
        texts[item.name] = str(value)
    return texts
