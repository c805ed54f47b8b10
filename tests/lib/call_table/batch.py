"""Plays the cells that share their strikes, all at once."""

from collections.abc import Sequence
from typing import Any

import gevent

from tests.lib.call_table.call_script import CallScript
from tests.lib.call_table.cell import Cell
from tests.lib.call_table.cell_outcome import CellOutcome
from tests.lib.call_table.cell_play import CellPlay
from tests.lib.call_table.cell_play import REACH_TIMEOUT_S
from tests.lib.call_table.recording_caller import RecordingCaller
from tests.lib.call_table.step import Point
from tests.lib.call_table.step import Step
from tests.lib.call_table.strikes import STRIKES
from tests.lib.call_table.table_configuration import HOST
from tests.lib.call_table.table_configuration import TableConfiguration
from tests.lib.call_table.table_configuration import TableRoute
from tests.lib.call_table.table_fleet import ATTEMPT_FAILED
from tests.lib.call_table.table_fleet import CALL_ENDED
from tests.lib.call_table.table_fleet import POLL_S
from tests.lib.call_table.table_fleet import TableFleet
from tests.lib.call_table.table_fleet import TARGETS_PER_SERVICE

LOG_DELAY_S = 0.3
WAITING_TIMEOUT_S = 2.0
"""Longer than a strict route's call waits for its slot."""


class StepNotReached(AssertionError):
    """A call is not at the step at which the strikes shall apply.

    Not an OSError, which an exchange would take for a failed connection.
    """


class Batch:
    """Brings the calls of its cells to their steps, then strikes.

    :param name: name that is unique among batches.
    :param cells: cells with the same strikes, which can all occur.
    :param fleet: instances and targets.
    """

    def __init__(
        self, name: str, cells: Sequence[Cell], fleet: TableFleet
    ) -> None:
        self._cells = cells
        self._fleet = fleet
        self._strikes = [STRIKES[name] for name in cells[0].strikes]
        self._routes = {cell: _build_route(cell) for cell in cells}
        routes = tuple(dict.fromkeys(self._routes.values()))
        self._configuration = TableConfiguration(name, routes)
        self._blocker_scripts: list[CallScript] = []
        self._blockers: list[RecordingCaller] = []

    def run(self) -> list[CellOutcome]:
        """Play all cells; return what came of them."""
        self._fleet.begin_batch(self._configuration)
        self._take_slots()
        plays = [
            self._create_play(number, cell)
            for number, cell in enumerate(self._cells)
        ]
        waiting = [play for play in plays if play.cell.step is Step.WAITING]
        others = [play for play in plays if play not in waiting]
        # A strict route's call waits for its slot for a second at most.
        for group in (others, waiting):
            gevent.joinall([gevent.spawn(play.reach) for play in group])
        try:
            self._wait_for_waiting()
        except StepNotReached:
            self._end(plays)
            raise
        for strike in self._strikes:
            strike.apply(self._fleet, self._configuration)
        for strike in self._strikes:
            strike.wait(self._fleet)
        for script in self._blocker_scripts:
            script.release()
        gevent.joinall([gevent.spawn(play.finish) for play in plays])
        outcomes = self._judge(plays)
        self._end(plays)
        self._fleet.replace_first()
        return outcomes

    def _end(self, plays: Sequence[CellPlay]) -> None:
        """Let targets go on, and close all connections."""
        for script in self._blocker_scripts:
            script.release()
        for play in plays:
            play.close()
        for blocker in self._blockers:
            blocker.close()

    def _create_play(self, number: int, cell: Cell) -> CellPlay:
        return CellPlay(
            cell,
            self._fleet.callers_port(0),
            self._fleet.stepped_targets,
            f'/{self._routes[cell].name}/x',
            self._configuration.key,
            f'{self._configuration.batch}-{number}',
        )

    def _take_slots(self) -> None:
        """Run a call in each slot of the services that shall be full."""
        for route in self._configuration.routes:
            if route.has_free_slots:
                continue
            for number in range(TARGETS_PER_SERVICE):
                attempt = f'{self._configuration.batch}-{route.name}-{number}'
                script = self._fleet.stepped_targets.add_script(
                    attempt, CallScript(Point.REQUEST)
                )
                caller = RecordingCaller(self._fleet.callers_port(1))
                caller.send(
                    f'POST /{route.blocker_name}/x HTTP/1.1\r\n'
                    f'Host: {HOST}\r\nAttempt-Id: {attempt}\r\n'
                    'Authorization: Bearer k-blocker\r\n'
                    'Content-Length: 0\r\n\r\n'.encode()
                )
                self._blockers.append(caller)
                self._blocker_scripts.append(script)
        for script in self._blocker_scripts:
            if not script.get_reached(Point.REQUEST).wait(REACH_TIMEOUT_S):
                raise TimeoutError('a slot could not be taken')

    def _wait_for_waiting(self) -> None:
        expected = sum(cell.step is Step.WAITING for cell in self._cells)
        error = StepNotReached('a call does not wait for its slot')
        with gevent.Timeout(WAITING_TIMEOUT_S, error):
            while self._fleet.count_waiting() < expected:
                gevent.sleep(POLL_S)

    def _judge(self, plays: Sequence[CellPlay]) -> list[CellOutcome]:
        outcomes = []
        judged = [play.judge() for play in plays]
        log: list[dict[str, Any]] = []
        if any(failure for failure, _ in judged):
            gevent.sleep(LOG_DELAY_S)
            log = self._fleet.list_log(CALL_ENDED, ATTEMPT_FAILED)
        for play, (failure, seen) in zip(plays, judged, strict=True):
            if failure:
                seen = '; '.join([seen, *_list_log_texts(play, log)])
            outcomes.append(CellOutcome(play.cell, failure, seen))
        return outcomes


def _build_route(cell: Cell) -> TableRoute:
    variant = '-'.join(
        silence.label.replace(':', '-') for silence in cell.silences
    )
    return TableRoute(
        cell.kind,
        variant or 'calm',
        is_strict=bool(cell.silences),
        has_free_slots=cell.step is not Step.WAITING,
    )


def _list_log_texts(play: CellPlay, log: list[dict[str, Any]]) -> list[str]:
    return [
        f'{line["message_type"]} '
        + (
            f'{line["outcome"]} {line["total_ms"]} ms'
            if line['message_type'] == CALL_ENDED
            else f'{line["end"]} ({line["detail"]}) next {line["next"]}'
        )
        for line in log
        if line['request'] in play.attempts
    ]
