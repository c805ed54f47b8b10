"""The clock of one simulated machine."""

from lagoonbend.clock import PausedClock


class OffsetClock:
    """The shared clock of the simulation, shifted by a constant offset.

    :param base: clock of the simulation.
    :param offset_ms: how far this machine's clock is ahead of it.
    """

    def __init__(self, base: PausedClock, offset_ms: int) -> None:
        self._base = base
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the time on this machine."""
        return self._base.now_ms() + self._offset_ms
