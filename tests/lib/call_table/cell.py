"""Cells of the table."""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from tests.lib.call_table.route_kind import ROUTE_KINDS
from tests.lib.call_table.route_kind import RouteKind
from tests.lib.call_table.silence import Silence
from tests.lib.call_table.silence import SILENCES
from tests.lib.call_table.step import Point
from tests.lib.call_table.step import Step
from tests.lib.call_table.strikes import STRIKES

HOLD_POINTS = {
    Step.SENT: Point.REQUEST,
    Step.HEAD: Point.HEAD,
    Step.MIDDLE: Point.MIDDLE,
    Step.LAST: Point.LAST,
    Step.NEXT: Point.LAST,
    Step.PIPELINED: Point.MIDDLE,
}
SILENCE_STEPS = {
    Point.REQUEST: Step.SENT,
    Point.HEAD: Step.HEAD,
    Point.MIDDLE: Step.MIDDLE,
}


class Cell(NamedTuple):
    """One or two disturbances at one step of a call of one kind.

    :param strikes: names of the strikes, in order.
    :param silences: pauses of the target in the first call.
    :param step: step at which the strikes strike.
    :param kind: kind of route.
    """

    strikes: tuple[str, ...]
    silences: tuple[Silence, ...]
    step: Step
    kind: RouteKind

    @property
    def row(self) -> tuple[str, ...]:
        """The disturbances."""
        return (*self.strikes, *(s.label for s in self.silences))

    @property
    def label(self) -> str:
        """Disturbances, step and kind of route."""
        return f'{" + ".join(self.row)} | {self.step.value} | {self.kind.name}'

    def explain_absence(self) -> str:
        """Return why the cell can't occur; empty if it can."""
        points = [silence.point for silence in self.silences]
        if len(set(points)) < len(points):
            return 'a target falls silent once at a point'
        if not points:
            return ''
        if not self.strikes:
            own_step = SILENCE_STEPS[points[0]]
            if self.step is own_step or self.step.has_second_request:
                return ''
            return f'the silence lies at the step "{own_step.value}"'
        hold = HOLD_POINTS.get(self.step, Point.REQUEST)
        if points[0].value < hold.value:
            return 'the silence is over before this step'
        return ''


def list_cells() -> list[Cell]:
    """Return all cells, with those that can't occur."""
    return [
        Cell(strikes, silences, step, kind)
        for strikes, silences in _list_rows()
        for step in Step
        for kind in ROUTE_KINDS
    ]


def _list_rows() -> Iterator[tuple[tuple[str, ...], tuple[Silence, ...]]]:
    disturbances: list[str | Silence] = [*STRIKES, *SILENCES]
    singles = [(item,) for item in disturbances]
    pairs = itertools.combinations(disturbances, 2)
    for row in (*singles, *pairs):
        yield (
            tuple(item for item in row if isinstance(item, str)),
            tuple(item for item in row if isinstance(item, Silence)),
        )
