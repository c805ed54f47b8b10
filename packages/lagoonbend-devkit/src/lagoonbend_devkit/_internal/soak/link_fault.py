"""A harmed connection between an instance and a target."""

from typing import NamedTuple


class LinkFault(NamedTuple):
    """Time during which a connection was reset, refused or cut.

    :param start_s: time of the reset or refusal, or of the first discarded
        byte, on the monotonic clock.
    :param end_s: time at which the connection ended.
    """

    start_s: float
    end_s: float

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether this time and another one overlap."""
        return self.start_s <= end_s and self.end_s >= start_s
