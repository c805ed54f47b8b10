"""Plays the whole table on a few fleets."""

from collections.abc import Sequence

import gevent
import gevent.queue

from tests.lib.call_table.batch import Batch
from tests.lib.call_table.batch import StepNotReached
from tests.lib.call_table.cell import Cell
from tests.lib.call_table.cell_outcome import CellOutcome
from tests.lib.call_table.strikes import STOP
from tests.lib.call_table.table_fleet import TableFleet

FLEET_COUNT = 3
MAX_PLAYS = 3


def play_cells(cells: Sequence[Cell]) -> list[CellOutcome]:
    """Play cells, those with the same strikes at once; return what came."""
    cells_by_strikes: dict[tuple[str, ...], list[Cell]] = {}
    for cell in cells:
        cells_by_strikes.setdefault(cell.strikes, []).append(cell)
    batches: gevent.queue.Queue = gevent.queue.Queue()
    # Those that take longest go first.
    for number, strikes in enumerate(
        sorted(
            cells_by_strikes,
            key=lambda names: (len(names) < 2, STOP in names),
            reverse=True,
        )
    ):
        batches.put((f'b{number}', cells_by_strikes[strikes]))
    workers = [
        gevent.spawn(_play_batches, batches) for _ in range(FLEET_COUNT)
    ]
    try:
        gevent.joinall(workers, raise_error=True)
    finally:
        gevent.killall(workers)
    return [outcome for worker in workers for outcome in worker.value]


def _play_batches(batches: gevent.queue.Queue) -> list[CellOutcome]:
    outcomes: list[CellOutcome] = []
    fleet = TableFleet()
    with fleet:
        while not batches.empty():
            name, cells = batches.get()
            outcomes.extend(_play_batch(name, cells, fleet))
    return outcomes


def _play_batch(
    name: str, cells: Sequence[Cell], fleet: TableFleet
) -> list[CellOutcome]:
    """Play a batch, again if a call got past its step before the strike.

    A call whose decider answers late is granted a slot by its own instance,
    and then does not wait.

    :raises StepNotReached: if the step is not reached in any of the plays.
    """
    for play in range(MAX_PLAYS - 1):
        try:
            return Batch(f'{name}.{play}', cells, fleet).run()
        except StepNotReached as error:
            print(f'batch {name} is played again: {error}', flush=True)
    return Batch(f'{name}.{MAX_PLAYS - 1}', cells, fleet).run()
