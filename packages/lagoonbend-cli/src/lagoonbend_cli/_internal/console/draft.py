"""Draft of the document part that operators edit."""

import copy
import difflib
from typing import Any

import msgspec

from lagoonbend.configuration import compute_digest
from lagoonbend.configuration import DocumentEntry
from lagoonbend.configuration import DocumentPart
from lagoonbend.configuration import PartEntry
from lagoonbend.exceptions import DocumentError

EMPTY_PART: PartEntry = {
    'revision': 0,
    'parent': '',
    'customers': [],
    'tiers': [],
    'rules': [],
}


class Draft:
    """Edited copy of the document part of one partner.

    The parts of other partners are copied into the resulting document
    unchanged.

    :param partner: owner of the edited part.
    :param base: document in force when the draft was made.
    """

    def __init__(self, partner: str, base: DocumentEntry) -> None:
        self.partner = partner
        self._base = base
        self._part: PartEntry = copy.deepcopy(self.base_part)

    @property
    def base_part(self) -> PartEntry:
        """The part before any change; empty if the partner has none yet."""
        return self._base['parts'].get(self.partner, EMPTY_PART)

    @property
    def is_changed(self) -> bool:
        """True if the draft differs from the base part."""
        return self._part != self.base_part

    def list_entries(self, name: str) -> list[dict[str, Any]]:
        """Return the entries of a list in the part.

        :param name: ``customers``, ``tiers`` or ``rules``.
        """
        entries: list[dict[str, Any]] = self._part[name]  # type: ignore
        return entries

    def put(self, name: str, index: int | None, entry: dict[str, Any]) -> None:
        """Replace or add an entry.

        :param index: index of the entry to replace; None to add one.
        :raises DocumentError: if the part would not be valid.
        """
        changed_part = copy.deepcopy(self._part)
        entries: list[dict[str, Any]] = changed_part[name]  # type: ignore
        if index is None:
            entries.append(entry)
        else:
            entries[index] = entry
        self._validate_and_replace(changed_part)

    def delete(self, name: str, index: int) -> None:
        """Delete an entry.

        :raises DocumentError: if the part would not be valid.
        """
        changed_part = copy.deepcopy(self._part)
        del changed_part[name][index]  # type: ignore
        self._validate_and_replace(changed_part)

    def build_document(self) -> DocumentEntry:
        """Return the document to publish, with the part's next revision."""
        document = copy.deepcopy(self._base)
        part = copy.deepcopy(self._part)
        part['revision'] = self.base_part['revision'] + 1
        part['parent'] = compute_digest(self.base_part)
        document['parts'][self.partner] = part
        return document

    def diff(self) -> list[str]:
        """Return the lines of a unified diff against the base part."""
        old_lines, new_lines = (
            _format_lines(part) for part in (self.base_part, self._part)
        )
        return list(
            difflib.unified_diff(
                old_lines, new_lines, 'in force', 'draft', lineterm=''
            )
        )

    def _validate_and_replace(self, part: PartEntry) -> None:
        names_by_list = {
            name: [entry['name'] for entry in part[name]]  # type: ignore
            for name in ('customers', 'tiers', 'rules')
        }
        for name, entry_names in names_by_list.items():
            if len(entry_names) != len(set(entry_names)):
                raise DocumentError(
                    'two entries have the same name', context=name
                )
        DocumentPart.from_entry(self.partner, part)
        self._part = part


def _format_lines(part: PartEntry) -> list[str]:
    text = msgspec.json.encode(part, order='sorted')
    return msgspec.json.format(text).decode().splitlines()
