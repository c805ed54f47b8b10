"""Targets that fall over when they must reject too many calls in a second.

Guards against a decider that goes on sending calls to a target which says so,
and whose room has shrunk unannounced.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimits
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.gateway.limit_recorder import LimitRecorder
from lagoonbend_entry._internal.platform import answer_headers

SLOTS = 6
ROOM = 3
"""Calls that each target runs; it rejects further ones."""
MAX_REJECTIONS = 3
"""Rejections in a second that a target survives, as it says."""
STABLE_WINDOW_MS = 3_000
SPAN_MS = 12_000
STEP_MS = 10
HOLD_MS = 100
CALLS_PER_STEP = 2
"""Three times the calls that both targets can run."""
SECOND_MS = 1_000
TARGETS = [
    ListedTarget(
        f't{n}', 'desk', '10.0.0.1', 80 + n, 'd', SLOTS, False, None, 1_000
    )
    for n in range(2)
]


class BrittleTargetsTest(unittest.TestCase):
    """A scheduler of two targets with less room than they have registered."""

    def setUp(self) -> None:
        """Create a scheduler."""
        self.clock = PausedClock(1_000_000)
        limits = NamedLimits(self.clock)
        self.recorder = LimitRecorder(limits, self.clock, mock.Mock())
        self.scheduler = PoolScheduler(
            ServiceProfile('desk'),
            self.clock,
            SharedLimits(LimitTolerance()),
            Invariants(strict=True),
            limits,
        )
        list(self.scheduler.set_targets(ServiceProfile('desk'), TARGETS))
        self.running = {target.target: 0 for target in TARGETS}
        self.ends: list[tuple[int, str, str, SlotOutcome]] = []
        self.rejections: list[tuple[int, str]] = []
        self.answered_count = 0
        self.headers = {'server-brittle': str(MAX_REJECTIONS)}

    def send(self, decisions: list[SlotDecision]) -> None:
        """Send the calls that have got a slot; targets without room reject."""
        now_ms = self.clock.now_ms()
        for decision in decisions:
            name = decision.target
            if decision.denial is not None:
                continue
            if self.running[name] < ROOM:
                self.running[name] += 1
                end = (now_ms + HOLD_MS, SlotOutcome.ANSWERED)
            else:
                self.rejections.append((now_ms, name))
                end = (now_ms + STEP_MS, SlotOutcome.TURNED_AWAY)
            self.ends.append((end[0], decision.call, name, end[1]))

    def end_calls(self) -> None:
        """End the calls that are due; each answer names the header."""
        now_ms = self.clock.now_ms()
        due = [end for end in self.ends if end[0] <= now_ms]
        self.ends = [end for end in self.ends if end[0] > now_ms]
        for _, call, name, outcome in due:
            target = next(item for item in TARGETS if item.target == name)
            status = 503
            if outcome is SlotOutcome.ANSWERED:
                status = 200
                self.running[name] -= 1
                self.answered_count += 1
            headers = answer_headers.decode_answer_headers(
                status, self.headers
            )
            self.recorder.record('desk', target, headers, now_ms, True)
            self.send(
                list(self.scheduler.release('i', call, name, outcome, 60, 'd'))
            )

    def run_load(self) -> None:
        """Send more calls than the targets can run."""
        for step in range(SPAN_MS // STEP_MS):
            self.end_calls()
            for number in range(CALLS_PER_STEP):
                request = SlotRequest(
                    f'{step}/{number}', 'i', 'd', 'desk', 0, 0, '', 0.0, 0,
                    400, 4_000,
                )  # fmt: skip
                self.send(list(self.scheduler.submit(request, None)))
            self.send(list(self.scheduler.expire()))
            self.clock.advance(STEP_MS)

    def find_most_rejections(self, from_ms: int) -> int:
        """Return the most rejections of a target in a second."""
        late = [item for item in self.rejections if item[0] >= from_ms]
        return max(
            (
                sum(
                    name == other and at_ms <= other_ms < at_ms + SECOND_MS
                    for other_ms, other in late
                )
                for at_ms, name in late
            ),
            default=0,
        )

    # Guards against targets that fall over under more rejections than they
    # can take, which they announce.
    def test_brittle_target_rejects_few_calls(self) -> None:
        """From the window of the users on; what fits is sent all the same."""
        start_ms = self.clock.now_ms()
        self.run_load()
        most = self.find_most_rejections(start_ms + STABLE_WINDOW_MS)
        self.assertLessEqual(most, MAX_REJECTIONS)
        possible_count = len(TARGETS) * ROOM * SPAN_MS / HOLD_MS
        self.assertGreaterEqual(self.answered_count, 0.5 * possible_count)

    # Guards against a target that gets fewer calls although it is brittle no
    # more.
    def test_sound_target_is_used_as_before(self) -> None:
        """Its answers don't have the header."""
        self.headers = {}
        self.run_load()
        possible_count = len(TARGETS) * ROOM * SPAN_MS / HOLD_MS
        self.assertGreaterEqual(self.answered_count, 0.8 * possible_count)
