"""What came of a cell."""

from typing import NamedTuple

from tests.lib.call_table.cell import Cell


class CellOutcome(NamedTuple):
    """What the caller saw in a cell.

    :param cell: the cell.
    :param failure: what is wrong with it; empty if nothing is.
    :param seen: what came for each request.
    """

    cell: Cell
    failure: str
    seen: str
