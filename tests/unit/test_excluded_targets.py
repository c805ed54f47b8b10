"""Calls that wait although targets that they must not use are free."""

import unittest
import unittest.mock

from lagoonbend.scheduling import TargetSet
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

KIND = CallKind(0, hold_ms=100, objective_ms=600_000, deadline_ms=600_000)
TARGETS = 4
SLOTS = 5
WAITING = 50


class ExcludedTargetsTest(unittest.TestCase):
    """All calls exclude one target; the others are full."""

    def setUp(self) -> None:
        """Fill the targets that the calls may use, and let more wait."""
        self.world = PoolWorld(TARGETS, SLOTS)
        self.calls = [
            self.world.arrive(KIND, excluded=('t0',))
            for _ in range((TARGETS - 1) * SLOTS + WAITING)
        ]
        self.assertEqual(WAITING, len(self.world.scheduler))

    def test_waiting_calls_that_differ_in_nothing_cost_one_choice(
        self,
    ) -> None:
        """Guards against a choice for each waiting call at each event."""
        with unittest.mock.patch.object(
            TargetSet, 'choose', autospec=True, side_effect=TargetSet.choose
        ) as choose:
            self.world.end(self.calls[0].request.call)
        self.assertEqual(WAITING - 1, len(self.world.scheduler))
        self.assertEqual(2, choose.call_count)

    def test_call_that_may_use_the_free_target_is_granted(self) -> None:
        """Calls of its failure domain that wait ahead of it don't matter."""
        kind = KIND._replace(rank=1)
        for excluded in ((), ('t1',), ('t2', 't3')):
            call = self.world.arrive(kind, excluded=excluded)
            assert call.decision is not None
            self.assertEqual('t0', call.decision.target)


if __name__ == '__main__':
    unittest.main()
