"""Shares of the new streams that began and of taken-up ones that went on."""

from collections.abc import Iterable
from typing import NamedTuple

MIN_TAKEN_UP_COUNT = 12
"""Number of taken-up streams from which the users' rule LOST applies."""
MIN_RELATIVE_SHARE = 0.5
"""Smallest share of taken-up streams that go on, as a part of the share of
new streams that begin, in the rule LOST."""


class StreamShares(NamedTuple):
    """Numbers of streams at undisturbed instances with sound targets.

    :param new_count: number of new streams.
    :param begun_count: number of those that began.
    :param taken_up_count: number of streams that were taken up.
    :param gone_on_count: number of those that went on.
    """

    new_count: int = 0
    begun_count: int = 0
    taken_up_count: int = 0
    gone_on_count: int = 0

    @property
    def is_large(self) -> bool:
        """True if there are enough streams to apply the rule."""
        return self.taken_up_count >= MIN_TAKEN_UP_COUNT

    @property
    def are_kept(self) -> bool:
        """True if enough of the streams that were taken up went on."""
        return (
            self.gone_on_count * self.new_count
            >= MIN_RELATIVE_SHARE * self.begun_count * self.taken_up_count
        )

    def describe(self) -> str:
        """Return the numbers as text."""
        return (
            f'{self.gone_on_count} of {self.taken_up_count} taken-up streams'
            f' went on, {self.begun_count} of {self.new_count} new ones began'
        )


def sum_shares(shares: Iterable[StreamShares]) -> StreamShares:
    """Return the sums of the numbers."""
    return StreamShares(*map(sum, zip(StreamShares(), *shares, strict=True)))
