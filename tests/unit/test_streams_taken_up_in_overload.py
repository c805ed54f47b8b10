"""Callers take streams up while new calls need twice the slots there are.

All instances were killed at once; their callers come back within seconds, some
in the middle of a stream. Guards against streams that are refused as if they
were new calls of the last rank although their beginning has been delivered.
"""

import random
import unittest

from lagoonbend.scheduling import rank_continued_stream
from lagoonbend.scheduling import RANK_ORDERS
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import CallRecord
from tests.lib.pool_world import PoolWorld

RANKS = [RANK_ORDERS['customer_first'](None, rank) for rank in range(3)]
URGENT = CallKind(RANKS[0], hold_ms=400)
SUMMARY = CallKind(RANKS[1], hold_ms=300, objective_ms=1_200)
GUIDE = CallKind(RANKS[2], hold_ms=1_500, objective_ms=1_500)
TAKEN_UP = CallKind(
    rank_continued_stream(RANKS[2]), hold_ms=750, objective_ms=2_000
)
ARRIVALS_PER_S = {URGENT: 20, SUMMARY: 50, GUIDE: 25, TAKEN_UP: 10}
"""Need 8 + 15 + 37 slots of the 30, and 8 for the streams."""
SPAN_S = 10
MIN_SHARE_OF_NEW = 0.5
"""The users' rule: of the streams that callers take up, at least half as many
go on as of the new streams that begin."""


def measure_granted_share(records: list[CallRecord]) -> float:
    """Return the share of calls that got a slot."""
    granted = [
        record
        for record in records
        if record.decision is not None and record.decision.denial is None
    ]
    return len(granted) / len(records)


class StreamsTakenUpInOverloadTest(unittest.TestCase):
    """One pool of 6 targets with 5 slots each."""

    def test_streams_go_on_as_often_as_new_ones_begin(self) -> None:
        """The most urgent calls are served as before."""
        for seed in range(5):
            source = random.Random(seed)
            world = PoolWorld(targets=6, slots=5)
            arrivals = sorted(
                (source.uniform(0, SPAN_S), number, kind)
                for kind, rate in ARRIVALS_PER_S.items()
                for number in range(rate * SPAN_S)
            )
            start_ms = world.clock.now_ms()
            for at_s, _, kind in arrivals:
                due_ms = start_ms + int(at_s * 1000)
                world.run(max(0, due_ms - world.clock.now_ms()))
                world.arrive(kind)
            world.run(3_000)
            records = list(world.records.values())
            taken_up = [r for r in records if r.kind is TAKEN_UP]
            new = [r for r in records if r.kind is not TAKEN_UP]
            share = measure_granted_share(taken_up)
            new_share = measure_granted_share(new)
            urgent_share = world.measure_on_time_share(URGENT)
            print(f'{seed}: {share:.2f} of {new_share:.2f} {urgent_share:.2f}')
            with self.subTest(seed=seed):
                self.assertGreaterEqual(share, MIN_SHARE_OF_NEW * new_share)
                self.assertGreaterEqual(urgent_share, 0.9)


if __name__ == '__main__':
    unittest.main()
