"""What was done to a fleet in a soak, and what its targets ran."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from lagoonbend_devkit._internal.gateway.standin_target import TargetArrival
from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.gateway.target_crash import TargetCrash
from lagoonbend_devkit._internal.soak.cold_period import ColdPeriod
from lagoonbend_devkit._internal.soak.cut_period import CutPeriod
from lagoonbend_devkit._internal.soak.drained_period import DrainedPeriod
from lagoonbend_devkit._internal.soak.evacuated_period import EvacuatedPeriod
from lagoonbend_devkit._internal.soak.instance_event import InstanceEvent
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.limited_period import LimitedPeriod
from lagoonbend_devkit._internal.soak.link_fault import LinkFault
from lagoonbend_devkit._internal.soak.sent_request import SentRequest
from lagoonbend_devkit._internal.soak.soak_record import PausedPeriod
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.target_period import TargetPeriod

IN_TOUCH_S = 3.0
"""Time with a sound store after which an instance must know what the store
has. While the store answers, its last confirmation is at most 2.8 s old."""


class SoakHistory(NamedTuple):
    """Runs, faults and signals of a soak.

    :param runs: executions at the targets.
    :param paused_periods: periods during which instances were paused.
    :param events: signals to instances and starts of their listeners, in
        the order of their times.
    :param link_faults: harmed connections to each target, by its name.
    :param drained_periods: periods during which targets were draining.
    :param configuration_times_s: times at which a version of the
        configuration was published, on the monotonic clock.
    :param store_faults: times at which the store or its link was harmed.
    :param target_periods: period in which each target was registered as
        ready, by its name.
    :param arrivals: requests that reached each target, by its name.
    :param limited_periods: limits that targets have named.
    :param crashes: targets that ended under calls.
    :param crashing_calls: requests that ended them.
    :param calls: requests of all callers.
    :param sent: requests that instances sent to each target, by its name,
        whether they arrived or not.
    :param cut_periods: periods in which instances reached no target.
    :param evacuated_periods: failure domains that were evacuated.
    :param cold_periods: targets that were cold.
    :param restorations: times from a store's return from an older copy until
        all was written again.
    """

    runs: Sequence[TargetRun] = ()
    paused_periods: Sequence[PausedPeriod] = ()
    events: Sequence[InstanceEvent] = ()
    link_faults: Mapping[str, Sequence[LinkFault]] = {}
    drained_periods: Sequence[DrainedPeriod] = ()
    configuration_times_s: Sequence[float] = ()
    store_faults: Sequence[LinkFault] = ()
    target_periods: Mapping[str, TargetPeriod] = {}
    arrivals: Mapping[str, Sequence[TargetArrival]] = {}
    crashes: Sequence[TargetCrash] = ()
    limited_periods: Sequence[LimitedPeriod] = ()
    crashing_calls: Sequence[SoakCall] = ()
    calls: Sequence[SoakCall] = ()
    sent: Mapping[str, Sequence[SentRequest]] = {}
    cut_periods: Sequence[CutPeriod] = ()
    evacuated_periods: Sequence[EvacuatedPeriod] = ()
    cold_periods: Sequence[ColdPeriod] = ()
    restorations: Sequence[LinkFault] = ()

    def list_runs(self, attempt: str) -> list[TargetRun]:
        """Return the runs of an attempt."""
        return [run for run in self.runs if run.attempt == attempt]

    def list_times_s(
        self, instance: int, kind: InstanceEventKind
    ) -> list[float]:
        """Return the times of the events of one kind at an instance."""
        return [
            event.at_s
            for event in self.events
            if event.instance == instance and event.kind is kind
        ]

    def is_link_harmed(
        self, target: str, start_s: float, end_s: float
    ) -> bool:
        """Return whether a connection to a target was harmed in a period."""
        return any(
            fault.overlaps(start_s, end_s)
            for fault in self.link_faults.get(target, ())
        )

    def list_pausing_targets(self, start_s: float, end_s: float) -> set[str]:
        """Return the targets that wanted a pause from any instance."""
        return {
            target
            for target, arrivals in self.arrivals.items()
            if any(
                item.pause_s
                and item.at_s <= end_s
                and item.pause_end_s >= start_s
                for item in arrivals
            )
        }

    def list_sound_targets(
        self, service: str, start_s: float, end_s: float
    ) -> list[str]:
        """Return the targets that were ready behind sound links."""
        drained_targets = {
            period.target
            for period in self.drained_periods
            if period.start_s <= end_s and period.end_s >= start_s
        }
        pausing_targets = self.list_pausing_targets(start_s, end_s)
        return [
            target
            for target, period in self.target_periods.items()
            if period.service == service
            and period.start_s <= start_s
            and period.end_s >= end_s
            and target not in drained_targets | pausing_targets
            and not self.is_link_harmed(target, start_s, end_s)
        ]

    def is_disturbed(
        self, instance: int, start_s: float, end_s: float
    ) -> bool:
        """Return whether a fault disturbed an instance or the store."""
        return self.is_interrupted(instance, start_s, end_s) or any(
            fault.overlaps(start_s, end_s) for fault in self.store_faults
        )

    def is_interrupted(
        self, instance: int, start_s: float, end_s: float
    ) -> bool:
        """Return whether an instance was down or paused in a period."""
        return any(
            down_start_s <= end_s and down_end_s >= start_s
            for down_start_s, down_end_s in self.list_down_periods(instance)
        ) or any(
            period.instance == instance
            and period.start_s <= end_s
            and period.end_s >= start_s
            for period in self.paused_periods
        )

    def has_been_in_touch(
        self, instance: int, since_s: float, at_s: float
    ) -> bool:
        """Return whether an instance must know what was written at a time.

        It must once the store was sound for a while and the instance was up.
        A new start, or a restoration of the store, requires that again.

        :param since_s: time of the write.
        :param at_s: time at which it must know, perhaps while it stops.
        """
        down_periods = list(self.list_down_periods(instance))
        ends_s = [end_s for _, end_s in down_periods if end_s <= at_s]
        ends_s += [r.end_s for r in self.restorations if r.start_s <= at_s]
        since_s = max([since_s, *ends_s])
        harmful_periods = [
            *down_periods,
            *((fault.start_s, fault.end_s) for fault in self.store_faults),
            *(
                (period.start_s, period.end_s)
                for period in self.paused_periods
                if period.instance == instance
            ),
        ]
        for start_s, end_s in sorted(harmful_periods):
            if min(start_s, at_s) - since_s >= IN_TOUCH_S:
                return True
            since_s = max(since_s, end_s)
        return at_s - since_s >= IN_TOUCH_S

    def list_down_periods(
        self, instance: int
    ) -> Iterator[tuple[float, float]]:
        """Yield start and end of each time from a stop to the next start.

        A stop is a SIGTERM or SIGKILL; the next start is the time at which
        the instance listens again.
        """
        start_s = None
        for event in self.events:
            if event.instance != instance:
                continue
            if event.kind is InstanceEventKind.LISTENING:
                if start_s is not None:
                    yield start_s, event.at_s
                start_s = None
            elif event.kind is not InstanceEventKind.RELOADED:
                start_s = event.at_s if start_s is None else start_s
        if start_s is not None:
            yield start_s, math.inf
