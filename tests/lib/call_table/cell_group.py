"""Groups of cells, by what may be wrong in them."""

import enum

from tests.lib.call_table.cell import Cell
from tests.lib.call_table.cell import HOLD_POINTS
from tests.lib.call_table.step import Point
from tests.lib.call_table.step import Step
from tests.lib.call_table.strikes import RELOAD
from tests.lib.call_table.strikes import STOP

LONG_SILENCE_MS = 2_000


class CellGroup(enum.Enum):
    """A group, which one test checks."""

    SILENCE = 'a target falls silent'
    SILENCE_IN_STREAM = 'silence amid a stream that may be resumed'
    CONFIGURATION = 'a configuration change'
    RELOAD = 'SIGHUP'
    DRAIN = 'SIGTERM'
    READ_AHEAD_AT_DRAIN = 'SIGTERM, with a request behind a stream'
    BOTH = 'the same, and silence amid a stream that may be resumed'


def find_group(cell: Cell) -> CellGroup:
    """Return the group of a cell."""
    is_drained = STOP in cell.strikes
    is_silent = _is_silent_in_resumable_stream(cell)
    if is_drained and cell.step is Step.PIPELINED and cell.kind.is_stream:
        return CellGroup.BOTH if is_silent else CellGroup.READ_AHEAD_AT_DRAIN
    if is_silent:
        return CellGroup.SILENCE_IN_STREAM
    if is_drained:
        return CellGroup.DRAIN
    if RELOAD in cell.strikes:
        return CellGroup.RELOAD
    return CellGroup.CONFIGURATION if cell.strikes else CellGroup.SILENCE


def _is_silent_in_resumable_stream(cell: Cell) -> bool:
    """Return whether a stream may be silent for over 1.2 s.

    A silence that follows a hold at the same point may add to it on a slow
    machine.
    """
    if not cell.kind.is_resumable:
        return False
    is_held = bool(cell.strikes) and (
        HOLD_POINTS.get(cell.step) is Point.MIDDLE
    )
    return any(
        silence.point is Point.MIDDLE
        and (silence.duration_ms >= LONG_SILENCE_MS or is_held)
        for silence in cell.silences
    )
