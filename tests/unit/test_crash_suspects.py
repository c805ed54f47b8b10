"""Which prompts are blocked when targets end.

Guards against targets that end one after the other under prompts with one
block, and against sound prompts that are blocked since they were there.
"""

import random
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.crashes import CrashEvidence
from lagoonbend.crashes import CrashSuspects
from lagoonbend.crashes import SoundCarrier

SERVICE = 'chat'
CRASH_COUNT = 5
"""Number of ended targets after which the users' rules count."""
STABLE_WINDOW_MS = 3_000
MAX_LATE_REQUESTS = 3
DAY_MS = 110_000
"""Longest day of the users' bench."""


class CrashSuspectsTest(unittest.TestCase):
    """Each test has the evidence of one instance, on a paused clock."""

    def setUp(self) -> None:
        """Create suspects without evidence."""
        self.clock = PausedClock(1_000_000)
        self.suspects = CrashSuspects(self.clock)
        self.life_count = 0

    def end_target(self, *blocks: str) -> None:
        """Let a target end while calls with these blocks wait there."""
        self.life_count += 1
        now_ms = self.clock.now_ms()
        self.suspects.record_crashes(
            CrashEvidence(SERVICE, block, f't{self.life_count}', now_ms)
            for block in blocks
        )

    def begin_answer(self, *blocks: str) -> None:
        """Let a target begin an answer to a call with these blocks."""
        now_ms = self.clock.now_ms()
        self.suspects.record_sound(
            SoundCarrier(SERVICE, block, now_ms) for block in blocks
        )

    def is_sent(
        self, *blocks: str, attempt: str = 'a', may_try: bool = True
    ) -> bool:
        """Return whether a call with these blocks may be sent."""
        return (
            self.suspects.check_carriers(
                SERVICE, blocks, attempt, may_try=may_try
            )
            is None
        )

    # Guards against prompts that go on to the next target for ever.
    def test_block_that_is_there_each_time_is_blocked(self) -> None:
        """That is before the fifth target has ended."""
        for number in range(CRASH_COUNT):
            if not self.is_sent('system', 'bad', f'own{number}'):
                return
            self.end_target('system', 'bad', f'own{number}')
            self.clock.advance(1_000)
        self.fail('five targets have ended')

    # Guards against two causes that hide each other.
    def test_two_culprits_are_blocked(self) -> None:
        """Each ends targets of its own."""
        for block in ['bad1', 'bad2'] * 4:
            self.end_target(block)
            self.clock.advance(500)
        self.assertFalse(self.is_sent('bad1'))
        self.assertFalse(self.is_sent('bad2'))

    # Guards against sound calls that are refused for the blocks that they
    # have in common with those that end targets.
    def test_blocks_of_sound_calls_are_not_blocked(self) -> None:
        """Those begin answers less often than targets end."""
        self.begin_answer('system', 'team')
        for number in range(20):
            self.end_target('system', 'team', 'bad')
            self.clock.advance(1_000)
            if number % 8 == 0:
                self.begin_answer('system', 'team')
        self.assertTrue(self.is_sent('system', 'team'))
        self.assertFalse(self.is_sent('system', 'team', 'bad'))

    # Guards against prompts that are blocked since a rack lost power, or
    # servers were killed at once.
    def test_targets_that_end_together_block_nothing(self) -> None:
        """All blocks were at all of them, and none has begun since."""
        for _ in range(30):
            self.end_target('system', 'rare')
            self.clock.advance(8)
        self.assertTrue(self.is_sent('system', 'rare'))

    # Guards against prompts that are blocked beside a target that goes down
    # and up by turns.
    def test_flapping_target_blocks_nothing(self) -> None:
        """Some of 400 rare blocks are there each time; most calls go well."""
        rng = random.Random(22)
        blocks = [f'b{number}' for number in range(400)]
        for _ in range(120):
            for block in rng.sample(blocks, 40):
                self.begin_answer(block)
            self.end_target(*rng.sample(blocks, 3))
            self.clock.advance(1_000)
            self.assertEqual(0, self.suspects.count_blocked())

    # Guards against a block that stays blocked although it does no harm, and
    # against trials that end as many targets as the requests did.
    def test_trials_are_few_and_clear_a_sound_carrier(self) -> None:
        """One call is tried at a time, later after each ended target."""
        for _ in range(CRASH_COUNT):
            self.end_target('bad')
            self.clock.advance(300)
        late_count = 0
        for step in range(DAY_MS // 100):
            self.clock.advance(100)
            if not self.is_sent('bad', attempt=f'trial{step}'):
                continue
            self.assertFalse(self.is_sent('bad', attempt='other'))
            late_count += 1
            self.end_target('bad')
            self.suspects.end_trials(f'trial{step}')
        self.assertGreaterEqual(late_count, 1)
        self.assertLessEqual(late_count, MAX_LATE_REQUESTS)
        self.begin_answer('bad')
        self.assertTrue(self.is_sent('bad', attempt='other'))

    # Guards against several trials at once, at different instances.
    def test_only_the_granting_instance_tries(self) -> None:
        """The others refuse the calls also when a trial is due."""
        for _ in range(CRASH_COUNT):
            self.end_target('bad')
            self.clock.advance(300)
        self.clock.advance(2 * DAY_MS)
        self.assertFalse(self.is_sent('bad', may_try=False))
        self.assertTrue(self.is_sent('bad'))

    # Guards against evidence that grows without a bound.
    def test_old_evidence_is_dropped(self) -> None:
        """A block that is seen no more is forgotten, blocked or not."""
        for number in range(5_000):
            self.end_target(f'b{number}')
        self.assertLessEqual(len(self.suspects), 1_024)
        self.clock.advance(10 * DAY_MS)
        self.end_target('last')
        self.assertEqual(1, len(self.suspects))

    # Guards against a call that ends a target with each of its attempts.
    def test_suspected_call_is_not_repeated(self) -> None:
        """One that was at the second target which ended goes to no third."""
        self.end_target('system', 'bad')
        self.assertTrue(self.suspects.may_repeat(SERVICE, ('bad',)))
        self.clock.advance(500)
        self.end_target('system', 'bad')
        self.assertFalse(self.suspects.may_repeat(SERVICE, ('bad',)))
        self.begin_answer('system')
        self.assertTrue(self.suspects.may_repeat(SERVICE, ('system',)))


class EvidenceOfManyInstancesTest(unittest.TestCase):
    """Evidence that arrives from other instances, in any order."""

    # Guards against instances that block different prompts.
    def test_order_and_repeats_of_evidence_change_nothing(self) -> None:
        """All instances with the same evidence decide the same."""
        rng = random.Random(22)
        now_ms = 1_000_000
        evidence = [
            CrashEvidence(SERVICE, block, f't{number}', now_ms + 200 * number)
            for number in range(12)
            for block in rng.sample(['a', 'b', 'c', 'd', 'e'], 2)
        ]
        decisions = set()
        for _ in range(20):
            clock = PausedClock(now_ms + 3_000)
            suspects = CrashSuspects(clock)
            shuffled = evidence * 2
            rng.shuffle(shuffled)
            for item in shuffled:
                suspects.record_crashes([item])
            decisions.add(
                tuple(suspects.is_blocked(SERVICE, b) for b in 'abcde')
            )
        self.assertEqual(1, len(decisions))
        self.assertIn(True, decisions.pop())
