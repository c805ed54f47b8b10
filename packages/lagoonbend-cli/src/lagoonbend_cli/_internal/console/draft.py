"""The part that operators edit."""

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
    """A part with its changes against the one it was made from.

    Only the own partner's part can be changed; the others are passed on as
    they are.

    :param partner: owner of the part.
    :param base: document that the draft was made from.
    """

    def __init__(self, partner: str, base: DocumentEntry) -> None:
        self.partner = partner
        self._base = base
        self._part: PartEntry = copy.deepcopy(self.base_part)

    @property
    def base_part(self) -> PartEntry:
        """The part that the draft was made from."""
        return self._base['parts'].get(self.partner, EMPTY_PART)

    @property
    def is_changed(self) -> bool:
        """True if the draft differs from its base."""
        return self._part != self.base_part

    def list_entries(self, name: str) -> list[dict[str, Any]]:
        """Return the entries of a list in the part."""
        entries: list[dict[str, Any]] = self._part[name]  # type: ignore
        return entries

    def put(self, name: str, index: int | None, entry: dict[str, Any]) -> None:
        """Change or add an entry.

        :param index: entry to change; None to add one.
        :raises DocumentError: if the part would not be valid.
        """
        changed = copy.deepcopy(self._part)
        entries: list[dict[str, Any]] = changed[name]  # type: ignore
        if index is None:
            entries.append(entry)
        else:
            entries[index] = entry
        self._take(changed)

    def delete(self, name: str, index: int) -> None:
        """Delete an entry.

        :raises DocumentError: if the part would not be valid.
        """
        changed = copy.deepcopy(self._part)
        del changed[name][index]  # type: ignore
        self._take(changed)

    def build_document(self) -> DocumentEntry:
        """Return the document to publish, with its next revision."""
        document = copy.deepcopy(self._base)
        part = copy.deepcopy(self._part)
        part['revision'] = self.base_part['revision'] + 1
        part['parent'] = compute_digest(self.base_part)
        document['parts'][self.partner] = part
        return document

    def diff(self) -> list[str]:
        """Return the lines of a unified diff against the base."""
        old, new = (
            _write_lines(part) for part in (self.base_part, self._part)
        )
        return list(
            difflib.unified_diff(old, new, 'in force', 'draft', lineterm='')
        )

    def _take(self, part: PartEntry) -> None:
        names = {
            name: [item['name'] for item in part[name]]  # type: ignore
            for name in ('customers', 'tiers', 'rules')
        }
        for name, found in names.items():
            if len(found) != len(set(found)):
                raise DocumentError(
                    'two entries have the same name', context=name
                )
        DocumentPart.from_entry(self.partner, part)
        self._part = part


def _write_lines(part: PartEntry) -> list[str]:
    text = msgspec.json.encode(part, order='sorted')
    return msgspec.json.format(text).decode().splitlines()
