"""Entity types of the console: customers, tiers and rules, with their forms.

Each is a list in the document part, the part of the configuration document
that belongs to one partner.
"""

import hashlib
from typing import Any
from typing import NamedTuple

from lagoonbend_cli._internal.console import field
from lagoonbend_cli._internal.console.field import Field

YES_NO = ('no', 'yes')
KEY_FIELD = 'bearer_key'


class Entity(NamedTuple):
    """A type of entry that the console edits, such as customers.

    :param name: name of the list in the document part, and path of its page.
    :param title: heading of the page.
    :param singular: name of one entry in texts.
    :param fields: fields of an entry; the first is its name.
    """

    name: str
    title: str
    singular: str
    fields: tuple[Field, ...]


ENTITIES: dict[str, Entity] = {}


def register_entity(entity: Entity) -> Entity:
    """Register an entity type under its name."""
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
                field.parse_whole_number,
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
            Field(
                'rank',
                'Rank',
                field.parse_whole_number,
                '0 is the most urgent.',
            ),
            Field('deadline_ms', 'Deadline, ms', field.parse_whole_number),
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
                field.parse_yes_no,
                choices=YES_NO,
            ),
            Field(
                'key_required',
                'Refused without a key',
                field.parse_yes_no,
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


def parse_entry(
    entity: Entity, texts: dict[str, str], old_entry: dict[str, Any] | None
) -> tuple[dict[str, Any], dict[str, str]]:
    """Parse the values of a submitted form into an entry.

    :param texts: submitted values by field name.
    :param old_entry: the entry before the change; None for a new one.
    :returns: the entry, and error messages by field name.
    """
    entry: dict[str, Any] = {}
    errors: dict[str, str] = {}
    for form_field in entity.fields:
        text = texts.get(form_field.name, '').strip()
        if not text:
            if form_field.is_required:
                errors[form_field.name] = 'Fill in this field.'
            continue
        try:
            entry[form_field.name] = form_field.parse(text)
        except ValueError as error:
            errors[form_field.name] = str(error)
    if entity.name == 'customers':
        _set_key_digest(entry, errors, old_entry)
    return entry, errors


def _set_key_digest(
    entry: dict[str, Any],
    errors: dict[str, str],
    old_entry: dict[str, Any] | None,
) -> None:
    key = entry.pop(KEY_FIELD, None)
    if key is not None:
        entry['key_sha256'] = hashlib.sha256(key.encode()).hexdigest()
    elif old_entry is not None:
        entry['key_sha256'] = old_entry['key_sha256']
    else:
        errors[KEY_FIELD] = 'A new customer needs a key.'


def format_entry(entity: Entity, entry: dict[str, Any]) -> dict[str, str]:
    """Return the form value of each field of an entry."""
    texts = {}
    for form_field in entity.fields:
        value = entry.get(form_field.name, '')
        if isinstance(value, bool):
            value = 'yes' if value else 'no'
        texts[form_field.name] = str(value)
    return texts
