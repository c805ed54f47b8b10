"""The part in force."""

from lagoonbend._internal.configuration.document_part import DocumentPart
from lagoonbend._internal.utils.invariants import Invariants


class PartStore:
    """Holds the newest part of one partner; never goes back.

    Of two parts with the same revision, the one with the greater digest
    wins at every instance, and the conflict is kept for the operators.

    :param partner: owner of the part.
    :param invariants: checks that must always hold.
    """

    def __init__(self, partner: str, invariants: Invariants) -> None:
        self.partner = partner
        self._invariants = invariants
        self.current: DocumentPart | None = None
        self.conflicts: dict[int, set[str]] = {}

    @property
    def order(self) -> tuple[int, str]:
        """Revision and digest in force; (0, '') without a part."""
        return order_of(self.current)

    def is_newer(self, part: DocumentPart) -> bool:
        """Return True if a part comes after the one in force."""
        return part.partner == self.partner and order_of(part) > self.order

    def offer(self, part: DocumentPart) -> bool:
        """Take a part if it is newer; return True if it is in force now."""
        if part.partner != self.partner:
            return False
        self._note_conflict(part)
        before = self.order
        if not self.is_newer(part):
            return False
        self.current = part
        self._invariants.check(
            self.order > before,
            'configuration_never_reverts',
            f'{before} to {self.order}',
        )
        return True

    def _note_conflict(self, part: DocumentPart) -> None:
        current = self.current
        if current is None or part.revision != current.revision:
            return
        if part.digest == current.digest:
            return
        digests = self.conflicts.setdefault(part.revision, set())
        digests.update((part.digest, current.digest))


def order_of(part: DocumentPart | None) -> tuple[int, str]:
    """Return the place of a part in the order that all instances share."""
    if part is None:
        return (0, '')
    return (part.revision, part.digest)
