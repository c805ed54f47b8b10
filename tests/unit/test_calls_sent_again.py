"""Calls that callers send again after a refusal, in an overload.

Guards against slots that go to calls which are late already while others
could still be on time, and against first sends that are taken for repeats.
"""

import heapq
import random
import unittest

from lagoonbend.scheduling import CALL_AGES
from lagoonbend.scheduling import CallerPatience
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

ROUTE = 'route'
KIND = CallKind(rank=0, hold_ms=400, objective_ms=600, deadline_ms=5_000)
LOAD_FACTOR = 3.0
SPAN_MS = 4_000
SLOTS = 20


class CallerPatienceTest(unittest.TestCase):
    """What is concluded from the deadlines of a route's calls."""

    def setUp(self) -> None:
        """Create an instance's view with a fixed seed."""
        self.rng = random.Random(7)
        self.patience = CallerPatience()

    def estimate(self, deadline_ms: int | None) -> int:
        """Return for how long a caller has waited."""
        return self.patience.estimate_waited_ms(ROUTE, deadline_ms)

    def choose_deadline_ms(self) -> int:
        """Return the deadline of a first send."""
        return self.rng.randint(2_600, 3_100)

    def test_first_sends_of_unlike_callers_are_new(self) -> None:
        """Their deadlines differ by a sixth."""
        waited = [self.estimate(self.choose_deadline_ms()) for _ in range(999)]
        self.assertLess(sum(ms > 0 for ms in waited), 30)
        self.assertLess(max(waited), 200)

    def test_repeats_are_recognized_among_as_many_first_sends(self) -> None:
        """A second after the first send, once the route is known."""
        for _ in range(100):
            self.estimate(self.choose_deadline_ms())
        found = 0
        for _ in range(200):
            self.estimate(self.choose_deadline_ms())
            waited_ms = self.estimate(self.choose_deadline_ms() - 1_000)
            self.assertLessEqual(waited_ms, 1_000)
            found += waited_ms > 0
        self.assertGreater(found, 100)

    def test_callers_without_a_deadline_and_few_calls_are_new(self) -> None:
        """Nothing is known of them."""
        self.assertEqual(0, self.estimate(None))
        for deadline_ms in (3_000, 3_000, 1, 10**15, 0):
            self.assertEqual(0, self.estimate(deadline_ms))

    def test_single_patient_callers_change_nothing(self) -> None:
        """One in thirty waits for an hour."""
        for number in range(300):
            self.estimate(3_600_000 if number % 30 == 0 else 3_000)
        self.assertEqual(0, self.estimate(3_000))
        self.assertEqual(700, self.estimate(2_300))

    def test_receipt_counts_each_call_as_new(self) -> None:
        """Where the settings don't ask for more."""
        age = CALL_AGES['receipt']()
        for deadline_ms in [3_000] * 100 + [1_000]:
            self.assertEqual(0, age.estimate_waited_ms(ROUTE, deadline_ms))


class OverloadTest(unittest.TestCase):
    """Three times what a pool serves; each refused caller returns once."""

    def play(self, *, counts_first_send: bool) -> int:
        """Return how many callers got an answer in time from first send."""
        world = PoolWorld()
        rng = random.Random(3)
        arrivals = [
            (int(at_ms), number, 0)
            for number, at_ms in enumerate(
                rng.uniform(0, SPAN_MS)
                for _ in range(int(LOAD_FACTOR * 50 * SPAN_MS / 1_000))
            )
        ]
        heapq.heapify(arrivals)
        start_ms = world.clock.now_ms()
        on_time = 0
        refused = []
        while arrivals:
            at_ms, number, waited_ms = heapq.heappop(arrivals)
            world.run(max(0, start_ms + at_ms - world.clock.now_ms()))
            record = world.arrive(
                KIND, waited_ms=waited_ms if counts_first_send else 0
            )
            refused.append((record, at_ms, number, waited_ms))
            for item in list(refused):
                record, sent_ms, number, waited_ms = item
                if record.decision is None:
                    continue
                refused.remove(item)
                ended_ms = record.decided_ms - start_ms
                if record.decision.denial is None:
                    is_old = waited_ms > 0
                    on_time += record.is_on_time and not is_old
                elif not waited_ms:
                    again_ms = ended_ms + record.decision.retry_after_ms
                    entry = (again_ms, number, max(1, again_ms - sent_ms))
                    heapq.heappush(arrivals, entry)
        return on_time

    def test_all_slots_go_to_answers_in_time(self) -> None:
        """They do not if each call counts from its receipt."""
        in_time = SLOTS * SPAN_MS / KIND.hold_ms
        self.assertGreaterEqual(self.play(counts_first_send=True), in_time)
        self.assertLess(self.play(counts_first_send=False), in_time)


if __name__ == '__main__':
    unittest.main()
