"""How a caller uses its connections."""

from typing import NamedTuple


class CallerHabit(NamedTuple):
    """How a caller uses its connections.

    :param connection_calls_end: exclusive upper bound of the calls on one
        connection; a connection that an instance closes ends before.
    :param pause_s: time from a whole answer to the next request.
    :param pipelined_count: number of requests that are sent before the first
        of their answers is read.
    """

    connection_calls_end: int = 6
    pause_s: float = 0.05
    pipelined_count: int = 1


BRIEF = CallerHabit()
LOYAL = CallerHabit(connection_calls_end=1_000)
EAGER = CallerHabit(connection_calls_end=1_000, pause_s=0.0)
PIPELINING = CallerHabit(connection_calls_end=1_000, pipelined_count=2)
