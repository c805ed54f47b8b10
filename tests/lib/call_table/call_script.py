"""What a target does with one call."""

from collections.abc import Iterable

import gevent
import gevent.event

from tests.lib.call_table.silence import Silence
from tests.lib.call_table.step import Point

MILLISECONDS_PER_SECOND = 1000


class CallScript:
    """Holds the target at a point, and keeps it silent at others.

    ``runs`` lists the targets that have run the call, and ``is_abandoned`` is
    True if one of them found its connection closed by the instance.

    :param hold: point at which the target waits for ``release``; None for
        no wait.
    :param silences: pauses of each target that runs the call.
    """

    def __init__(
        self, hold: Point | None = None, silences: Iterable[Silence] = ()
    ) -> None:
        self.runs: list[str] = []
        self.is_abandoned = False
        self._hold = hold
        self._silences = {silence.point: silence for silence in silences}
        self._reached = {point: gevent.event.Event() for point in Point}
        self._released = gevent.event.Event()

    def release(self) -> None:
        """End the wait."""
        self._released.set()

    def get_reached(self, point: Point) -> gevent.event.Event:
        """Return the event that is set once a target is at a point."""
        return self._reached[point]

    def hold(self, point: Point) -> None:
        """Wait for the release if this is the point to hold at."""
        self._reached[point].set()
        if point is self._hold:
            self._released.wait()

    def keep_silent(self, point: Point) -> None:
        """Pause if there is a silence at this point."""
        silence = self._silences.get(point)
        if silence is not None:
            gevent.sleep(silence.duration_ms / MILLISECONDS_PER_SECOND)
