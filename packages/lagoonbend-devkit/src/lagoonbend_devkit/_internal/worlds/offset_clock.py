"""The clock of one machine of a world."""

from lagoonbend.clock import PausedClock


class OffsetClock:
    """Reads a shared clock with an offset of its own.

    :param base: clock of the world.
    :param offset_ms: what this machine's clock is ahead.
    """

    def __init__(self, base: PausedClock, offset_ms: int) -> None:
        self._base = base
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the machine's reading."""
        return self._base.now_ms() + self._offset_ms
