"""A service, its scheduler and calls on a paused clock."""

import heapq
import itertools
from typing import NamedTuple

from lagoonbend.clock import PausedClock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import PromptBlock
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest

SERVICE = 'chat'
TICK_MS = 50
FIRST_MS = 120


class CallKind(NamedTuple):
    """A kind of call in a world.

    :param rank: importance; 0 is the most urgent.
    :param hold_ms: time that a call holds its place.
    :param objective_ms: time to the first bytes with full worth.
    :param deadline_ms: time after which nobody waits.
    :param prompt_tokens: length of the prompt.
    """

    rank: int
    hold_ms: int
    objective_ms: int = 600
    deadline_ms: int = 5_000
    prompt_tokens: int = 500


class CallRecord:
    """What became of a call.

    :param request: the wish for a place.
    :param kind: its kind.
    :param arrived_ms: when it arrived.
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
        """True if the first bytes came within the objective."""
        if self.decision is None or self.decision.denial is not None:
            return False
        wait_ms = self.decided_ms - self.arrived_ms
        return wait_ms + FIRST_MS <= self.kind.objective_ms


class PoolWorld:
    """Plays arrivals against one scheduler.

    :param targets: number of targets.
    :param slots: places of each.
    :param is_engine: True for model engines.
    """

    def __init__(
        self, targets: int = 4, slots: int = 5, is_engine: bool = True
    ) -> None:
        self.clock = PausedClock(1_000_000)
        self.limits = SharedLimits(LimitTolerance(0.25, 0.0, 8.0))
        self.scheduler = PoolScheduler(
            ServiceProfile(SERVICE, is_engine=is_engine),
            self.clock,
            self.limits,
            Invariants(strict=True),
        )
        self.records: dict[str, CallRecord] = {}
        self.largest_held = 0
        self._numbers = itertools.count()
        self._ends: list[tuple[int, int, str]] = []
        self._is_engine = is_engine
        self.listed = [
            ListedTarget(
                f't{n}', SERVICE, '10.0.0.1', 80 + n, f'd{n % 2}', slots, False
            )
            for n in range(targets)
        ]
        self.list_targets(self.listed)

    def list_targets(self, targets: list[ListedTarget]) -> None:
        """Change the list of targets."""
        profile = ServiceProfile(SERVICE, is_engine=self._is_engine)
        self._take(self.scheduler.set_targets(profile, targets))

    def arrive(
        self,
        kind: CallKind,
        *,
        instance: str = 'i0',
        failure_domain: str = 'd0',
        rule: CustomerRule | None = None,
        cost_units: float = 0.0,
        session: str = '',
    ) -> CallRecord:
        """Let a call arrive now."""
        number = next(self._numbers)
        request = SlotRequest(
            call=f'c{number}',
            instance=instance,
            failure_domain=failure_domain,
            pool=SERVICE,
            rank=kind.rank,
            route_rank=kind.rank,
            customer=rule.name if rule else '',
            cost_units=cost_units,
            waited_ms=0,
            objective_ms=kind.objective_ms,
            deadline_ms=kind.deadline_ms,
            prompt=(PromptBlock(session or f'p{number}', kind.prompt_tokens),),
        )
        record = CallRecord(request, kind, self.clock.now_ms())
        self.records[request.call] = record
        self._take(self.scheduler.submit(request, rule))
        return record

    def run(self, span_ms: int) -> None:
        """Let time pass."""
        end_ms = self.clock.now_ms() + span_ms
        while self.clock.now_ms() < end_ms:
            next_ms = min(end_ms, self.clock.now_ms() + TICK_MS)
            if self._ends:
                next_ms = min(next_ms, max(self._ends[0][0], 0))
            step_ms = max(0, next_ms - self.clock.now_ms())
            self.clock.advance(step_ms)
            while self._ends and self._ends[0][0] <= self.clock.now_ms():
                self.end(heapq.heappop(self._ends)[2])
            self._take(self.scheduler.expire())
            if not step_ms and not self._ends:
                self.clock.advance(1)

    def end(self, call: str, end: SlotOutcome = SlotOutcome.ANSWERED) -> None:
        """End a call at its target, unless it has ended."""
        record = self.records[call]
        if record.decision is None or record.has_ended:
            return
        record.has_ended = True
        request = record.request
        self._take(
            self.scheduler.release(
                request.instance,
                call,
                record.decision.target,
                end,
                FIRST_MS if end is SlotOutcome.ANSWERED else 0,
                request.failure_domain,
            )
        )

    def share_on_time(self, kind: CallKind) -> float:
        """Return the part of the calls of a kind that were on time."""
        records = [r for r in self.records.values() if r.kind == kind]
        return sum(r.is_on_time for r in records) / len(records)

    def _take(self, decisions: object) -> None:
        assert hasattr(decisions, '__iter__')
        for decision in list(decisions):
            record = self.records[decision.call]
            assert record.decision is None, 'decided twice'
            record.decision = decision
            record.decided_ms = self.clock.now_ms()
            if decision.denial is None:
                end_ms = record.decided_ms + record.kind.hold_ms
                heapq.heappush(
                    self._ends, (end_ms, next(self._numbers), decision.call)
                )
        held = self.scheduler.targets.held_count
        self.largest_held = max(self.largest_held, held)
