"""Runs a workload against modelled engines."""

import collections
import functools
import random
from typing import NamedTuple

from lagoonbend.clock import PausedClock
from lagoonbend.models import Call
from lagoonbend.models import RequestClass
from lagoonbend.routing import CacheEvent
from lagoonbend.routing import LoadReport
from lagoonbend.routing import WorkEstimate
from lagoonbend_devkit._internal.model.event_heap import EventHeap
from lagoonbend_devkit._internal.model.model_call import ModelCall
from lagoonbend_devkit._internal.model.model_engine import ModelEngine
from lagoonbend_devkit._internal.model.model_instance import ModelInstance
from lagoonbend_devkit._internal.model.model_settings import ModelSettings
from lagoonbend_devkit._internal.model.request_kind import RequestKind
from lagoonbend_devkit._internal.model.tally import Tally
from lagoonbend_devkit._internal.model.workload import Workload
from lagoonbend_devkit._internal.standins.engine_core import EngineJob

SNAPSHOT_MS = 50
TICK_MS = 50
DRAIN_MS = 30_000
LOST_EVENTS = 0.1
MILLISECONDS_PER_SECOND = 1000
BURST_FROM = 0.4
BURST_TO = 0.6
SLOW_FROM = 0.5


class Outcome(NamedTuple):
    """Measures of a run.

    :param goodput_percent: by tier.
    :param refused_percent: by tier.
    :param wasted_tokens: prompt tokens computed again or for dropped work.
    :param prefilled_tokens: all prompt tokens computed.
    """

    goodput_percent: dict[str, float]
    refused_percent: dict[str, float]
    wasted_tokens: int
    prefilled_tokens: int


class ModelRun:
    """One seeded run.

    :param workload: requests and engines.
    :param settings: settings of the run.
    """

    def __init__(self, workload: Workload, settings: ModelSettings) -> None:
        self._workload = workload
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._clock = PausedClock()
        self._heap = EventHeap(self._clock)
        seen: set[int] = set()
        self.engines = {
            f'engine-{number}': ModelEngine(
                f'engine-{number}', speed, seen, self._heap
            )
            for number, speed in enumerate(workload.speeds)
        }
        targets = [engine.target for engine in self.engines.values()]
        self.instances = [
            ModelInstance(
                self._clock,
                settings,
                random.Random(self._rng.random()),
                targets,
            )
            for _ in range(workload.instances)
        ]
        self.tallies = {kind.name: Tally() for kind in workload.kinds}
        self._snapshots: dict[str, collections.deque[LoadReport]] = {
            name: collections.deque() for name in self.engines
        }
        self._numbers = 0
        rate = settings.load * workload.capacity_per_s / workload.mean_tokens
        self._rate_per_ms = rate / MILLISECONDS_PER_SECOND

    def run(self) -> Outcome:
        """Run to the end; return the measures."""
        settings = self._settings
        self._heap.call_in(0, self._arrive)
        self._heap.call_in(0, self._take_snapshots)
        self._heap.call_in(0, self._tick)
        slow_ms = int(SLOW_FROM * settings.duration_ms)
        self._heap.call_in(slow_ms, self._slow_down)
        self._heap.run_until(settings.duration_ms + DRAIN_MS)
        cores = [engine.core for engine in self.engines.values()]
        return Outcome(
            {n: t.goodput_percent for n, t in self.tallies.items()},
            {
                n: 100 * t.refused / max(1, t.sent)
                for n, t in self.tallies.items()
            },
            sum(core.wasted_tokens for core in cores),
            sum(core.prefilled_tokens for core in cores),
        )

    def _arrive(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._settings.duration_ms:
            return
        kinds = self._workload.kinds
        shares = [kind.share for kind in kinds]
        kind = self._rng.choices(kinds, shares)[0]
        self._send(kind)
        part = now_ms / self._settings.duration_ms
        rate = self._rate_per_ms
        if BURST_FROM <= part < BURST_TO:
            rate *= self._settings.burst_factor
        gap_ms = self._rng.expovariate(rate)
        self._heap.call_in(max(1, round(gap_ms)), self._arrive)

    def _send(self, kind: RequestKind) -> None:
        instance = self._rng.choice(self.instances)
        tally = self.tallies[kind.name]
        tally.sent += 1
        self._numbers += 1
        if self._settings.is_oracle:
            self._tell_truth(instance)
        model_call = ModelCall(
            self._build_call(kind),
            self._draw_work(kind),
            self._clock,
            instance.control,
            self._start,
            tally,
        )
        instance.control.submit(model_call)

    def _build_call(self, kind: RequestKind) -> Call:
        now_ms = self._clock.now_ms()
        rank = kind.rank if self._settings.has_tiers else 0
        request_class = RequestClass(
            kind.name,
            kind.name,
            rank,
            'engine',
            kind.idempotent,
            False,
            kind.deadline_ms,
        )
        return Call(
            f'call-{self._numbers}',
            'customer',
            'POST',
            '/v1/chat/completions',
            '',
            b'',
            'model',
            True,
            None,
            request_class,
            now_ms,
            True,
            now_ms + kind.deadline_ms,
        )

    def _draw_work(self, kind: RequestKind) -> WorkEstimate:
        prefix = hash((kind.rank, self._rng.randrange(kind.prefixes))) | 1
        return WorkEstimate(
            self._rng.randint(*kind.prompt_tokens),
            self._rng.randint(*kind.output_tokens),
            prefix,
            kind.prefix_tokens,
        )

    def _start(self, target: str, job: EngineJob) -> None:
        self.engines[target].add(job)

    def _take_snapshots(self) -> None:
        now_ms = self._clock.now_ms()
        for name, engine in self.engines.items():
            core = engine.core
            self._snapshots[name].append(
                LoadReport(name, core.running, core.waiting_tokens, now_ms)
            )
            self._publish_events(name, core.cache_events)
        oldest_ms = now_ms - self._settings.lag_ms
        for instance in self.instances:
            instance.read_reports(
                lambda name: self._read_snapshot(name, oldest_ms)
            )
        self._heap.call_in(SNAPSHOT_MS, self._take_snapshots)

    def _publish_events(
        self, name: str, events: list[tuple[int, bool]]
    ) -> None:
        """Let each instance hear the events after the lag, but for some."""
        for prefix, is_cached in events:
            event = CacheEvent(name, prefix, is_cached)
            for instance in self.instances:
                if self._rng.random() >= LOST_EVENTS:
                    self._heap.call_in(
                        self._settings.lag_ms,
                        functools.partial(instance.record_cache_event, event),
                    )
        events.clear()

    def _read_snapshot(self, name: str, oldest_ms: int) -> LoadReport | None:
        snapshots = self._snapshots[name]
        while len(snapshots) > 1 and snapshots[1].measured_ms <= oldest_ms:
            snapshots.popleft()
        first = snapshots[0]
        return first if first.measured_ms <= oldest_ms else None

    def _tick(self) -> None:
        for instance in self.instances:
            if self._settings.is_oracle:
                self._tell_truth(instance)
            instance.control.tick()
        self._heap.call_in(TICK_MS, self._tick)

    def _slow_down(self) -> None:
        for engine in list(self.engines.values())[: self._settings.slowed]:
            engine.slowdown = self._settings.slowdown

    def _tell_truth(self, instance: ModelInstance) -> None:
        now_ms = self._clock.now_ms()
        for state in instance.table:
            engine = self.engines[state.target.target]
            core = engine.core
            state.report = LoadReport(
                state.target.target, core.running, core.waiting_tokens, now_ms
            )
            state.tokens_per_s = engine.true_tokens_per_s
            for prefix in core.prefix_cache:
                state.prefixes.add(prefix)
