"""Limits that targets name, and the calls that they allow.

Guards against a limit that a late answer ends or that outlives its target,
against one that no answer could end, and against calls that are held until
their deadline while a limit allows none.
"""

import itertools
import random
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimit
from lagoonbend.facts import NamedLimits
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.platform import answer_headers

WINDOW_MS = 4_000
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
"""The users' rule LIMIT."""
STEP_MS = 50
HOLD_MS = 100
CALLS_PER_STEP = 3
"""Calls that one target of eight slots can serve."""
TARGETS = [
    ListedTarget(
        f't{n}', 'desk', '10.0.0.1', 80 + n, 'd', 8, False, None, 1_000
    )
    for n in range(2)
]
FIRST, SECOND = TARGETS


def limit(
    rate_per_s: float | None, stated_ms: int, target: ListedTarget = FIRST
) -> NamedLimit:
    """Return a statement of a target."""
    return NamedLimit(target, rate_per_s, stated_ms)


class NamedLimitsTest(unittest.TestCase):
    """The statements of one instance, on a paused clock."""

    def setUp(self) -> None:
        """Create limits without a statement."""
        self.clock = PausedClock(100_000)
        self.limits = NamedLimits(self.clock)

    def find_rate(self, target: ListedTarget = FIRST) -> float | None:
        """Return the limit of a target."""
        return self.limits.find_rate_per_s(target)

    # Guards against a limit that a late answer to an earlier request ends.
    def test_order_of_the_statements_decides(self) -> None:
        """Whatever order they arrive in."""
        statements = [
            limit(5.0, 99_000),
            limit(None, 99_100),
            limit(2.0, 99_200),
        ]
        for ordered in itertools.permutations(statements):
            limits = NamedLimits(self.clock)
            for item in ordered:
                limits.record(item)
            self.assertEqual(2.0, limits.find_rate_per_s(FIRST))

    def test_answer_without_a_limit_ends_it(self) -> None:
        """Its request was sent after the limit was named."""
        self.limits.record(limit(5.0, 99_000))
        self.assertFalse(self.limits.record(limit(None, 98_900)))
        self.assertEqual(5.0, self.find_rate())
        self.assertTrue(self.limits.record(limit(None, 99_100)))
        self.assertIsNone(self.find_rate())

    # Guards against a new life of a target that is held to the old limit.
    def test_limit_holds_for_one_life(self) -> None:
        """Neither another target nor a later life has it."""
        self.limits.record(limit(5.0, 99_000))
        self.assertIsNone(self.find_rate(SECOND))
        self.assertIsNone(self.find_rate(FIRST._replace(born_ms=2_000)))

    # Guards against a limit that no answer can end, as no call is sent.
    def test_limit_without_an_answer_ends(self) -> None:
        """A target that allows none is asked once in ten seconds."""
        for rate_per_s, kept_ms in ((5.0, 10_000), (0.0, 30_000)):
            self.limits.record(limit(rate_per_s, self.clock.now_ms()))
            self.clock.advance(kept_ms - 1)
            self.assertEqual(max(0.1, rate_per_s), self.find_rate())
            self.clock.advance(1)
            self.assertIsNone(self.find_rate())

    # Guards against values that end a limit or raise an error.
    def test_values_that_are_no_number_are_ignored(self) -> None:
        """Decimal numbers are read."""
        for value, rate_per_s in (
            ('6.4', 6.4),
            (' 1 ', 1.0),
            ('.5', 0.5),
            ('0', 0.0),
            ('9' * 30, 1e30),
            ('-1', None),
            ('nan', None),
            ('inf', None),
            ('1e3', None),
            ('5, 3', None),
            ('٣', None),
        ):
            headers = answer_headers.decode_answer_headers(
                200, {'server-limit': value}
            )
            self.assertEqual(rate_per_s, headers.request_limit_per_s)
            is_unused = bool(headers.unused_request_limit)
            self.assertEqual(rate_per_s is None, is_unused)


class LimitedPoolTest(unittest.TestCase):
    """A scheduler of two targets with eight slots each."""

    def setUp(self) -> None:
        """Create a scheduler."""
        self.clock = PausedClock(1_000_000)
        self.limits = NamedLimits(self.clock)
        self.scheduler = PoolScheduler(
            ServiceProfile('desk'),
            self.clock,
            SharedLimits(LimitTolerance()),
            Invariants(strict=True),
            self.limits,
        )
        list(self.scheduler.set_targets(ServiceProfile('desk'), TARGETS))
        self.sent: list[tuple[int, str]] = []
        self.denials: list[tuple[Denial, int, int]] = []
        self.arrived_ms: dict[str, int] = {}
        self.ends: list[tuple[int, str, str]] = []

    def use(self, decisions: object) -> None:
        """Note the calls that are sent or denied."""
        assert hasattr(decisions, '__iter__')
        now_ms = self.clock.now_ms()
        for decision in list(decisions):
            if decision.denial is None:
                self.sent.append((now_ms, decision.target))
                end = (now_ms + HOLD_MS, decision.call, decision.target)
                self.ends.append(end)
                continue
            waited_ms = now_ms - self.arrived_ms[decision.call]
            self.denials.append(
                (decision.denial, waited_ms, decision.retry_after_ms)
            )

    def run_load(self, calls_per_step: int, span_ms: int) -> None:
        """Send calls in each step, and end them after their time."""
        for _ in range(span_ms // STEP_MS):
            now_ms = self.clock.now_ms()
            ended = [end for end in self.ends if end[0] <= now_ms]
            self.ends = [end for end in self.ends if end[0] > now_ms]
            for _, call, target in ended:
                self.use(
                    self.scheduler.release(
                        'i', call, target, SlotOutcome.ANSWERED, 60, 'd'
                    )
                )
            for _ in range(calls_per_step):
                call = f'c{len(self.arrived_ms)}'
                self.arrived_ms[call] = now_ms
                request = SlotRequest(
                    call, 'i', 'd', 'desk', 0, 0, '', 0.0, 0, 400, 4_000
                )
                self.use(self.scheduler.submit(request, None))
            self.use(self.scheduler.expire())
            self.clock.advance(STEP_MS)

    def find_largest_window(self, name: str) -> int:
        """Return the most calls that were sent to a target in a window."""
        times_ms = [at_ms for at_ms, target in self.sent if target == name]
        return max(
            (
                sum(at_ms <= other < at_ms + WINDOW_MS for other in times_ms)
                for at_ms in times_ms
            ),
            default=0,
        )

    def keep_naming(self, rate_per_s: float, *targets: ListedTarget) -> None:
        """Let targets name a limit now."""
        for target in targets:
            self.limits.record(limit(rate_per_s, self.clock.now_ms(), target))

    # Guards against more calls than the target takes from all instances.
    def test_limited_target_gets_no_more(self) -> None:
        """For limits of any size; the goal is what the target said."""
        for rate_per_s in (0.0, 0.3, 1.0, 6.4, 40.0):
            self.setUp()
            for _ in range(20):
                self.keep_naming(rate_per_s, FIRST)
                self.run_load(CALLS_PER_STEP, 1_000)
            count = self.find_largest_window(FIRST.target)
            allowed = EXCESS_RATIO * rate_per_s * 4 + EXCESS_REQUESTS
            self.assertLessEqual(count, allowed, rate_per_s)
            self.assertLessEqual(count, 1.1 * rate_per_s * 4 + 2, rate_per_s)
            self.assertEqual([], self.denials)

    # Guards against callers who are held for long, or return at once.
    def test_calls_are_denied_soon_if_all_targets_are_limited(self) -> None:
        """Those that are sent use what the limits allow."""
        for rate_per_s in (0.3, 2.0, 10.0):
            self.setUp()
            for _ in range(20):
                self.keep_naming(rate_per_s, FIRST, SECOND)
                self.run_load(3, 1_000)
            for _, waited_ms, retry_after_ms in self.denials:
                self.assertLessEqual(waited_ms, 1_000 + STEP_MS)
                self.assertGreater(retry_after_ms, 0)
            for target in TARGETS:
                count = self.find_largest_window(target.target)
                allowed = EXCESS_RATIO * rate_per_s * 4 + EXCESS_REQUESTS
                self.assertLessEqual(count, allowed)
            sent = len(self.sent)
            self.assertGreaterEqual(sent, 0.6 * 2 * rate_per_s * 20)

    # Guards against limits that change from answer to answer.
    def test_changing_limit_is_followed(self) -> None:
        """The largest one bounds any window."""
        rng = random.Random(22)
        for _ in range(40):
            self.keep_naming(rng.uniform(1.0, 4.0), FIRST)
            self.run_load(5, 500)
        count = self.find_largest_window(FIRST.target)
        self.assertLessEqual(count, 4.0 * 4 + 2)
