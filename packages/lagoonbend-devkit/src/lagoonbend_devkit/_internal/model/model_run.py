"""Simulates a workload on simulated engines and instances.

``Model`` in a class name means the simulation, not a language model.
"""

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
from lagoonbend_devkit._internal.model.tier_counts import TierCounts
from lagoonbend_devkit._internal.model.workload import Workload
from lagoonbend_devkit._internal.standins.engine_core import EngineJob

SNAPSHOT_INTERVAL_MS = 50
"""Time between two load reports of an engine."""
SCHEDULING_INTERVAL_MS = 50
DRAIN_MS = 30_000
LOST_EVENT_SHARE = 0.1
"""Share of the cache events that do not reach an instance."""
MILLISECONDS_PER_SECOND = 1000
BURST_START_SHARE = 0.4
BURST_END_SHARE = 0.6
SLOWDOWN_START_SHARE = 0.5
"""Times of the burst and of the slowdown, as shares of ``duration_ms``."""


class ModelResult(NamedTuple):
    """Results of a run. Each kind of request is a tier of its own.

    :param goodput_percent: requests answered within their deadline, by tier.
    :param refused_percent: requests refused, by tier.
    :param wasted_tokens: prompt tokens of prefixes that an engine had computed
        before, and of requests that were then cancelled.
    :param prefilled_tokens: all prompt tokens computed.
    """

    goodput_percent: dict[str, float]
    refused_percent: dict[str, float]
    wasted_tokens: int
    prefilled_tokens: int


class ModelRun:
    """One simulation; runs with the same settings have the same results.

    :param workload: kinds of requests, and speeds of engines.
    :param settings: settings of the run.
    """

    def __init__(self, workload: Workload, settings: ModelSettings) -> None:
        self._workload = workload
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._clock = PausedClock()
        self._heap = EventHeap(self._clock)
        computed_prefixes: set[int] = set()
        self.engines = {
            f'engine-{number}': ModelEngine(
                f'engine-{number}', speed, computed_prefixes, self._heap
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
            for _ in range(workload.instance_count)
        ]
        self.counts_by_tier = {
            kind.name: TierCounts() for kind in workload.kinds
        }
        self._snapshots: dict[str, collections.deque[LoadReport]] = {
            name: collections.deque() for name in self.engines
        }
        self._call_count = 0
        rate = settings.load * workload.capacity_per_s / workload.mean_tokens
        self._rate_per_ms = rate / MILLISECONDS_PER_SECOND

    def run(self) -> ModelResult:
        """Run the simulation and return its results.

        Requests stop after ``duration_ms``; those that are still waiting or
        running get ``DRAIN_MS`` more to finish.
        """
        settings = self._settings
        self._heap.call_after(0, self._generate_request)
        self._heap.call_after(0, self._take_snapshots)
        self._heap.call_after(0, self._run_scheduling)
        slow_ms = int(SLOWDOWN_START_SHARE * settings.duration_ms)
        self._heap.call_after(slow_ms, self._slow_down)
        self._heap.run_until(settings.duration_ms + DRAIN_MS)
        cores = [engine.core for engine in self.engines.values()]
        return ModelResult(
            {
                tier: counts.goodput_percent
                for tier, counts in self.counts_by_tier.items()
            },
            {
                tier: 100 * counts.refused / max(1, counts.sent)
                for tier, counts in self.counts_by_tier.items()
            },
            sum(core.wasted_tokens for core in cores),
            sum(core.prefilled_tokens for core in cores),
        )

    def _generate_request(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._settings.duration_ms:
            return
        kinds = self._workload.kinds
        shares = [kind.share for kind in kinds]
        kind = self._rng.choices(kinds, shares)[0]
        self._send(kind)
        elapsed_share = now_ms / self._settings.duration_ms
        rate = self._rate_per_ms
        if BURST_START_SHARE <= elapsed_share < BURST_END_SHARE:
            rate *= self._settings.burst_factor
        interval_ms = self._rng.expovariate(rate)
        self._heap.call_after(
            max(1, round(interval_ms)), self._generate_request
        )

    def _send(self, kind: RequestKind) -> None:
        instance = self._rng.choice(self.instances)
        tier_counts = self.counts_by_tier[kind.name]
        tier_counts.sent += 1
        self._call_count += 1
        if self._settings.is_oracle:
            self._apply_exact_state(instance)
        model_call = ModelCall(
            self._build_call(kind),
            self._draw_work(kind),
            self._clock,
            instance.admission_control,
            self._start_job,
            tier_counts,
        )
        instance.admission_control.submit(model_call)

    def _build_call(self, kind: RequestKind) -> Call:
        now_ms = self._clock.now_ms()
        rank = kind.rank if self._settings.has_tiers else 0
        request_class = RequestClass(
            kind.name,
            kind.name,
            rank,
            'engine',
            kind.idempotent,
            False,  # key_required
            kind.deadline_ms,
        )
        return Call(
            f'call-{self._call_count}',
            'customer',
            'POST',
            '/v1/chat/completions',
            '',
            b'',
            'model',
            True,  # streaming
            None,  # key
            request_class,
            now_ms,
            True,  # age_known
            now_ms + kind.deadline_ms,
        )

    def _draw_work(self, kind: RequestKind) -> WorkEstimate:
        # The lowest bit is set because prefix 0 means that there is none.
        prefix = hash((kind.rank, self._rng.randrange(kind.prefix_count))) | 1
        return WorkEstimate(
            self._rng.randint(*kind.prompt_tokens),
            self._rng.randint(*kind.output_tokens),
            prefix,
            kind.prefix_tokens,
        )

    def _start_job(self, target: str, job: EngineJob) -> None:
        self.engines[target].add(job)

    def _take_snapshots(self) -> None:
        now_ms = self._clock.now_ms()
        for name, engine in self.engines.items():
            core = engine.core
            self._snapshots[name].append(
                LoadReport(name, core.running, core.waiting_tokens, now_ms)
            )
            self._publish_events(name, core.cache_events)
        latest_ms = now_ms - self._settings.lag_ms
        for instance in self.instances:
            instance.update_reports(
                lambda name: self._read_snapshot(name, latest_ms)
            )
        self._heap.call_after(SNAPSHOT_INTERVAL_MS, self._take_snapshots)

    def _publish_events(
        self, name: str, events: list[tuple[int, bool]]
    ) -> None:
        """Send cache events to each instance after the lag.

        A share of ``LOST_EVENT_SHARE`` is lost on the way.
        """
        for prefix, is_cached in events:
            event = CacheEvent(name, prefix, is_cached)
            for instance in self.instances:
                if self._rng.random() >= LOST_EVENT_SHARE:
                    self._heap.call_after(
                        self._settings.lag_ms,
                        functools.partial(instance.record_cache_event, event),
                    )
        events.clear()

    def _read_snapshot(self, name: str, latest_ms: int) -> LoadReport | None:
        snapshots = self._snapshots[name]
        while len(snapshots) > 1 and snapshots[1].measured_ms <= latest_ms:
            snapshots.popleft()
        newest_visible = snapshots[0]
        return (
            newest_visible if newest_visible.measured_ms <= latest_ms else None
        )

    def _run_scheduling(self) -> None:
        for instance in self.instances:
            if self._settings.is_oracle:
                self._apply_exact_state(instance)
            instance.admission_control.tick()
        self._heap.call_after(SCHEDULING_INTERVAL_MS, self._run_scheduling)

    def _slow_down(self) -> None:
        for engine in list(self.engines.values())[
            : self._settings.slowed_engine_count
        ]:
            engine.slowdown = self._settings.slowdown

    def _apply_exact_state(self, instance: ModelInstance) -> None:
        """Set the exact load, speed and caches of the engines at an instance.

        The oracle is the baseline that decides with this knowledge.
        """
        now_ms = self._clock.now_ms()
        for state in instance.target_table:
            engine = self.engines[state.target.target]
            core = engine.core
            state.report = LoadReport(
                state.target.target, core.running, core.waiting_tokens, now_ms
            )
            state.tokens_per_s = engine.true_tokens_per_s
            for prefix in core.prefix_cache:
                state.prefixes.add(prefix)
