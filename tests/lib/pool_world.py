"""Simulation of one pool: a real scheduler, targets and calls.

The clock advances only when the test advances it, so that a run takes little
real time and does not depend on the speed of the machine.
"""

import heapq
import itertools
from typing import NamedTuple

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ColdTargets
from lagoonbend.facts import ColdTolerance
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import CUSTOMER_ORDERS
from lagoonbend.scheduling import KeptPromptTotals
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import PromptBlock
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest

SERVICE = 'chat'
SCHEDULING_INTERVAL_MS = 50
FIRST_BYTE_MS = 120
"""Time from the grant of a slot to the first byte of the answer."""


class CallKind(NamedTuple):
    """Properties shared by all calls of one kind.

    :param rank: rank of the calls; 0 is the most urgent.
    :param hold_ms: time for which a call occupies its slot.
    :param objective_ms: latency objective: time from arrival to the first
        byte within which the answer has its full value.
    :param deadline_ms: time from arrival after which no answer is needed.
    :param prompt_tokens: length of the prompt in tokens.
    """

    rank: int
    hold_ms: int
    objective_ms: int = 600
    deadline_ms: int = 5_000
    prompt_tokens: int = 500


class CallRecord:
    """A submitted call and the decision on it.

    :param request: request of the call for a slot.
    :param kind: kind of the call.
    :param arrived_ms: when the call arrived.
    """

    def __init__(
        self, request: SlotRequest, kind: CallKind, arrived_ms: int
    ) -> None:
        self.request = request
        self.kind = kind
        self.arrived_ms = arrived_ms
        self.decision: SlotDecision | None = None
        self.decided_ms = 0
        self.has_ended = False

    @property
    def is_on_time(self) -> bool:
        """True if the first byte came within the latency objective."""
        if self.decision is None or self.decision.denial is not None:
            return False
        wait_ms = self.decided_ms - self.arrived_ms
        return wait_ms + FIRST_BYTE_MS <= self.kind.objective_ms


class PoolWorld:
    """Submits calls to one scheduler and ends them after their hold time.

    ``answers_as_expected`` is True if first bytes take as long as the
    scheduler expects.

    :param targets: number of targets.
    :param slots: number of slots of each target.
    :param is_engine: True for model engines, False for a plain service.
    :param customer_order: name of the order among the customers of a rank.
    :param memory_tokens: tokens that an engine's memory holds; 0 if unknown.
    :param cold_rate_per_s: calls a second that a cold target bears.
    :param kept_prompts: how cached prompts are weighed against waits.
    """

    answers_as_expected = False

    def __init__(
        self,
        targets: int = 4,
        slots: int = 5,
        is_engine: bool = True,
        customer_order: str = 'latest_start',
        memory_tokens: int = 0,
        cold_rate_per_s: float = 0.0,
        kept_prompts: str = 'off',
    ) -> None:
        self.clock = PausedClock(1_000_000)
        self.cold = ColdTargets(self.clock, ColdTolerance(1.5, 5.0))
        self.totals = KeptPromptTotals()
        self._profile = ServiceProfile(
            SERVICE,
            is_engine=is_engine,
            memory_tokens=memory_tokens,
            cold_rate_per_s=cold_rate_per_s,
        )
        self.limits = SharedLimits(LimitTolerance(0.25, 0.0, 8.0))
        self.scheduler = PoolScheduler(
            self._profile,
            self.clock,
            self.limits,
            Invariants(strict=True),
            None,
            self.cold,
            CUSTOMER_ORDERS[customer_order](),
            kept_prompts,
            self.totals,
        )
        self.records: dict[str, CallRecord] = {}
        self.max_held_count = 0
        self._sequence = itertools.count()
        self._scheduled_ends: list[tuple[int, int, str]] = []
        self.listed = [
            ListedTarget(
                f't{n}', SERVICE, '10.0.0.1', 80 + n, f'd{n % 2}', slots, False
            )
            for n in range(targets)
        ]
        self.set_target_list(self.listed)

    def set_target_list(self, targets: list[ListedTarget]) -> None:
        """Replace the target list of the scheduler."""
        self._record_decisions(
            self.scheduler.set_targets(self._profile, targets)
        )

    def arrive(
        self,
        kind: CallKind,
        *,
        instance: str = 'i0',
        failure_domain: str = 'd0',
        rule: CustomerRule | None = None,
        cost_units: float = 0.0,
        session: str = '',
        excluded: tuple[str, ...] = (),
        waited_ms: int = 0,
    ) -> CallRecord:
        """Submit a call that arrives now and return its record.

        :param waited_ms: time since its first send, as far as it is known.
        """
        number = next(self._sequence)
        request = SlotRequest(
            call=f'c{number}',
            instance=instance,
            failure_domain=failure_domain,
            pool=SERVICE,
            rank=kind.rank,
            route_rank=kind.rank,
            customer=rule.name if rule else '',
            cost_units=cost_units,
            waited_ms=waited_ms,
            objective_ms=kind.objective_ms,
            deadline_ms=kind.deadline_ms,
            prompt=(PromptBlock(session or f'p{number}', kind.prompt_tokens),),
            excluded=excluded,
        )
        record = CallRecord(request, kind, self.clock.now_ms())
        self.records[request.call] = record
        self._record_decisions(self.scheduler.submit(request, rule))
        return record

    def run(self, span_ms: int) -> None:
        """Advance the clock by ``span_ms``, with what falls due in that time.

        Calls end after their hold time, and the scheduler expires requests at
        least once per interval of its loop.
        """
        end_ms = self.clock.now_ms() + span_ms
        while self.clock.now_ms() < end_ms:
            next_ms = min(end_ms, self.clock.now_ms() + SCHEDULING_INTERVAL_MS)
            if self._scheduled_ends:
                next_ms = min(next_ms, max(self._scheduled_ends[0][0], 0))
            step_ms = max(0, next_ms - self.clock.now_ms())
            self.clock.advance(step_ms)
            while (
                self._scheduled_ends
                and self._scheduled_ends[0][0] <= self.clock.now_ms()
            ):
                self.end(heapq.heappop(self._scheduled_ends)[2])
            self._record_decisions(self.scheduler.expire())
            if not step_ms and not self._scheduled_ends:
                self.clock.advance(1)

    def end(
        self, call: str, outcome: SlotOutcome = SlotOutcome.ANSWERED
    ) -> None:
        """Release the slot of a call, unless it has none or has ended."""
        record = self.records[call]
        if record.decision is None or record.has_ended:
            return
        record.has_ended = True
        request = record.request
        first_byte_ms = FIRST_BYTE_MS
        if self.answers_as_expected:
            first_byte_ms = record.decision.expected_ms
        self._record_decisions(
            self.scheduler.release(
                request.instance,
                call,
                record.decision.target,
                outcome,
                first_byte_ms if outcome is SlotOutcome.ANSWERED else 0,
                request.failure_domain,
            )
        )

    def lose_instance(self, instance: str) -> None:
        """End an instance with all its calls."""
        for record in self.records.values():
            if record.request.instance == instance:
                record.has_ended = True
        self._record_decisions(self.scheduler.drop_instance(instance))

    def measure_on_time_share(self, kind: CallKind) -> float:
        """Return the share of the calls of a kind that met their objective."""
        records = [r for r in self.records.values() if r.kind == kind]
        return sum(r.is_on_time for r in records) / len(records)

    def _record_decisions(self, decisions: object) -> None:
        assert hasattr(decisions, '__iter__')
        for decision in list(decisions):
            record = self.records[decision.call]
            assert record.decision is None, 'decided twice'
            record.decision = decision
            record.decided_ms = self.clock.now_ms()
            if decision.denial is None:
                end_ms = record.decided_ms + record.kind.hold_ms
                heapq.heappush(
                    self._scheduled_ends,
                    (end_ms, next(self._sequence), decision.call),
                )
        held_count = self.scheduler.targets.held_count
        self.max_held_count = max(self.max_held_count, held_count)
