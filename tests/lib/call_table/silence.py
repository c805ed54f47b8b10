"""Silence of a sound target."""

from typing import NamedTuple

from tests.lib.call_table.step import Point


class Silence(NamedTuple):
    """A pause after which the target goes on to the end of its answer.

    :param name: where the pause lies.
    :param point: point of the target's work at which it pauses.
    :param duration_ms: length of the pause.
    """

    name: str
    point: Point
    duration_ms: int

    @property
    def label(self) -> str:
        """Name and duration, as in ``pause-head:1200``."""
        return f'{self.name}:{self.duration_ms}'


SILENCES = tuple(
    Silence(name, point, duration_ms)
    for name, point in (
        ('pause-head', Point.REQUEST),
        ('pause-first', Point.HEAD),
        ('pause-middle', Point.MIDDLE),
    )
    for duration_ms in (1_200, 2_000)
)
