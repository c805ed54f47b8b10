"""A simulated entry instance."""

from collections.abc import Callable
from collections.abc import Iterable
import random

from lagoonbend.clock import Clock
from lagoonbend.invariants import Invariants
from lagoonbend.models import Target
from lagoonbend.queueing import AdmissionControl
from lagoonbend.queueing import QueuedCall
from lagoonbend.queueing import TierQueue
from lagoonbend.routing import CacheEvent
from lagoonbend.routing import LoadReport
from lagoonbend.routing import TargetTable
from lagoonbend_devkit._internal.model.model_settings import ModelSettings


class ModelInstance:
    """The real queue, target table and admission control of one instance.

    :param clock: clock of the simulation.
    :param settings: settings of the run.
    :param rng: random number generator of the routing policy.
    :param targets: targets of the engines.
    """

    def __init__(
        self,
        clock: Clock,
        settings: ModelSettings,
        rng: random.Random,
        targets: Iterable[Target],
    ) -> None:
        self.invariants = Invariants(strict=True)
        self.target_table = TargetTable(
            clock,
            policy=settings.policy,
            rng=rng,
            outstanding_limit=settings.outstanding_limit,
            backlog_limit_ms=settings.backlog_limit_ms,
        )
        self.target_table.apply(targets)
        queue: TierQueue[QueuedCall] = TierQueue(
            settings.queue_capacity, self.invariants
        )
        self.admission_control = AdmissionControl(
            clock,
            queue,
            self.target_table,
            self.invariants,
            preempt_slack_ms=settings.preempt_slack_ms,
        )

    def update_reports(
        self, read_report: Callable[[str], LoadReport | None]
    ) -> None:
        """Update the load report of each engine.

        :param read_report: returns the report of the target of a given
            name; None if none has arrived yet, which keeps the old one.
        """
        for state in self.target_table:
            report = read_report(state.target.target)
            if report is not None:
                state.report = report

    def record_cache_event(self, event: CacheEvent) -> None:
        """Record a cache event of an engine."""
        for state in self.target_table:
            if state.target.target == event.target:
                state.record_cache_event(event)
