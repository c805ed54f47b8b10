"""A target that ended and was listed before the store's history."""

from collections.abc import Iterable
from typing import NamedTuple


class UnknownEnd(NamedTuple):
    """The removal of a target of which nothing else is known.

    :param era: era of the store.
    :param listed_revision: revision up to which the target was written last.
    :param noticed_ms: when its removal was read, on the instance's clock.
    """

    era: int
    listed_revision: int
    noticed_ms: int

    def is_before(self, created: Iterable[tuple[int, int] | None]) -> bool:
        """Return True if it was listed before each of some targets.

        :param created: era and revision at which each of them was listed
            first; None if that isn't known.
        """
        return all(
            item is not None
            and item[0] == self.era
            and item[1] > self.listed_revision
            for item in created
        )
