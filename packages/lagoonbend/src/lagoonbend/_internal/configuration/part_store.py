"""The current part of the configuration document."""

from lagoonbend._internal.configuration.document_part import DocumentPart
from lagoonbend._internal.utils.invariants import Invariants


class PartStore:
    """Holds the newest part of one partner; never reverts to an older one.

    Of two parts with the same revision, every instance uses the one with the
    greater digest. Such conflicts are recorded for the operators.

    :param partner: name of the partner that the part belongs to.
    :param invariants: checks that must always hold.
    """

    def __init__(self, partner: str, invariants: Invariants) -> None:
        self.partner = partner
        self._invariants = invariants
        self.current: DocumentPart | None = None
        self.conflicts: dict[int, set[str]] = {}

    @property
    def order(self) -> tuple[int, str]:
        """Revision and digest of the current part; (0, '') without one."""
        return order_of(self.current)

    def is_newer(self, part: DocumentPart) -> bool:
        """Return True if a part is newer than the current one."""
        return part.partner == self.partner and order_of(part) > self.order

    def offer(self, part: DocumentPart) -> bool:
        """Make a part the current one if it is newer; return True if so."""
        if part.partner != self.partner:
            return False
        self._record_conflict(part)
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

    def _record_conflict(self, part: DocumentPart) -> None:
        current = self.current
        if current is None or part.revision != current.revision:
            return
        if part.digest == current.digest:
            return
        digests = self.conflicts.setdefault(part.revision, set())
        digests.update((part.digest, current.digest))


def order_of(part: DocumentPart | None) -> tuple[int, str]:
    """Return the key by which all instances order parts."""
    if part is None:
        return (0, '')
    return (part.revision, part.digest)
