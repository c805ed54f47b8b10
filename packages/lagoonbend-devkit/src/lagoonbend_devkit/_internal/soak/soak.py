"""Soak test of real processes under overlapping faults from a seed."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Sequence
import time

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak import crash_checks
from lagoonbend_devkit._internal.soak import crash_faults
from lagoonbend_devkit._internal.soak import cut_checks
from lagoonbend_devkit._internal.soak import cut_faults
from lagoonbend_devkit._internal.soak import instance_log
from lagoonbend_devkit._internal.soak import limit_checks
from lagoonbend_devkit._internal.soak import limit_faults
from lagoonbend_devkit._internal.soak import stream_checks
from lagoonbend_devkit._internal.soak import target_state_checks
from lagoonbend_devkit._internal.soak import target_state_faults
from lagoonbend_devkit._internal.soak.caller_habit import BRIEF
from lagoonbend_devkit._internal.soak.caller_habit import EAGER
from lagoonbend_devkit._internal.soak.caller_habit import LOYAL
from lagoonbend_devkit._internal.soak.caller_habit import PIPELINING
from lagoonbend_devkit._internal.soak.caller_request import CallerRequest
from lagoonbend_devkit._internal.soak.excuses import find_excuse
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.instance_watch import InstanceWatch
from lagoonbend_devkit._internal.soak.soak_caller import connect
from lagoonbend_devkit._internal.soak.soak_caller import exchange_calls
from lagoonbend_devkit._internal.soak.soak_caller import SoakCaller
from lagoonbend_devkit._internal.soak.soak_checks import find_violations
from lagoonbend_devkit._internal.soak.soak_checks import GuaranteeViolation
from lagoonbend_devkit._internal.soak.soak_faults import COLD
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING_REQUESTS
from lagoonbend_devkit._internal.soak.soak_faults import EVACUATIONS
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import LIMITS
from lagoonbend_devkit._internal.soak.soak_faults import LINKS
from lagoonbend_devkit._internal.soak.soak_faults import RELEASE
from lagoonbend_devkit._internal.soak.soak_faults import RESTORE
from lagoonbend_devkit._internal.soak.soak_faults import SERIES
from lagoonbend_devkit._internal.soak.soak_faults import SHEDDING
from lagoonbend_devkit._internal.soak.soak_faults import SINGLE
from lagoonbend_devkit._internal.soak.soak_faults import SOAK_FAULTS
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import PausedPeriod
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_report import SoakReport
from lagoonbend_devkit._internal.soak.stream_shares import StreamShares
from lagoonbend_devkit._internal.soak.stream_shares import sum_shares
from lagoonbend_devkit._internal.soak.supervisor import Supervisor

REGISTERED = (
    crash_checks,
    crash_faults,
    cut_checks,
    cut_faults,
    limit_checks,
    limit_faults,
    target_state_checks,
    target_state_faults,
)
"""Modules that register checks and faults."""
CALLER_HABITS = (*[BRIEF] * 8, LOYAL, EAGER, PIPELINING, PIPELINING)
MEAN_FAULT_INTERVALS_S = {
    SINGLE: 0.6,
    SERIES: 2.0,
    RELEASE: 4.0,
    SHEDDING: 1.5,
    RESTORE: 6.0,
}
"""Mean time between the starts of two faults of a group. A single fault lasts
up to 2.5 s, so that several overlap. A group without one plays one fault."""
SKIPPED_SHARES = {
    COLD: 0.5,
    CRASHING: 0.5,
    CRASHING_REQUESTS: 0.5,
    EVACUATIONS: 0.5,
    LIMITS: 0.5,
    LINKS: 0.5,
}
"""Shares of the seeds that play no fault of a group."""
COLD_PER_S = 1.0
"""Requests a second to a cold target; the callers send it far more."""
POLL_INTERVAL_S = 0.05
MAX_RECOVERY_S = 12.0
"""Time after the last fault within which all instances must serve again; the
recovery time that the users require."""


class Soak:
    """Runs callers against one fleet while faults are injected.

    :param seed: seed of the faults and requests.
    :param fault_period_s: time during which faults are injected.
    :param left_out: groups of faults that are not injected.
    """

    def __init__(
        self,
        seed: int,
        fault_period_s: float,
        left_out: Collection[str] = (),
    ) -> None:
        self._seed = seed
        self._left_out = left_out
        self._fault_period_s = fault_period_s
        self._calls: list[SoakCall] = []
        self._fault_counts: Counter[str] = Counter()
        self._is_stopping = False

    def run(self) -> SoakReport:
        """Run the soak; return its result."""
        with gateway_fleet.GatewayFleet(
            4,
            create_proxy=FaultProxy,
            can_cut=LINKS not in self._left_out,
            target_domains=gateway_fleet.DOMAINS[
                : 1 if EVACUATIONS in self._left_out else None
            ],
            cold_per_s=0.0 if COLD in self._left_out else COLD_PER_S,
        ) as fleet:
            caller_greenlets = [
                gevent.spawn(
                    SoakCaller(
                        fleet, self._seed, number, habit, self._calls
                    ).run,
                    lambda: self._is_stopping,
                )
                for number, habit in enumerate(CALLER_HABITS)
            ]
            context = self._build_fault_context(fleet)
            supervisor = Supervisor(fleet)
            watch_greenlets = [
                gevent.spawn(InstanceWatch(fleet, context.events).run),
                gevent.spawn(supervisor.run),
            ]
            self._inject_faults(context)
            is_recovered = self._wait_until_recovered(fleet)
            self._is_stopping = True
            gevent.joinall(caller_greenlets, raise_error=True)
            gevent.joinall(watch_greenlets, timeout=0, raise_error=True)
            gevent.killall(watch_greenlets)
            history = self._build_history(context, self._calls)
            calls = [
                self._record_paused_time(call, history.paused_periods)
                for call in self._calls
            ]
            violations = self._add_log_lines(
                find_violations(calls, history), history.calls, fleet
            )
        if not is_recovered:
            detail = f'not all instances serve after {MAX_RECOVERY_S:.0f} s'
            violations.append(GuaranteeViolation('recovers', '', detail))
        statuses = Counter(call.status for call in calls)
        excuses = Counter(
            find_excuse(call, history) or f'none: {call.failure.value}'
            for call in calls
            if not call.status
        )
        return SoakReport(
            self._seed,
            dict(sorted(statuses.items())),
            dict(sorted(self._fault_counts.items())),
            dict(sorted(excuses.items())),
            supervisor.restart_count,
            stream_checks.compute_shares(calls, history),
            violations,
        )

    @staticmethod
    def _record_paused_time(
        call: SoakCall, paused_periods: Sequence[PausedPeriod]
    ) -> SoakCall:
        paused_s = sum(
            paused_period.compute_overlap_s(
                call.sent_s + call.queued_s, call.end_s
            )
            for paused_period in paused_periods
            if paused_period.instance == call.instance
        )
        return call._replace(paused_s=paused_s)

    def _build_fault_context(
        self, fleet: gateway_fleet.GatewayFleet
    ) -> FaultContext:
        assert fleet.store_proxy is not None, (
            'the soak needs a proxy in front of the store'
        )
        return FaultContext(
            fleet,
            fleet.target_proxies,
            fleet.store_proxy,
            self._seed,
            self._fault_period_s,
        )

    @staticmethod
    def _build_history(
        context: FaultContext, calls: Sequence[SoakCall]
    ) -> SoakHistory:
        return SoakHistory(
            context.fleet.runs,
            context.paused_periods,
            sorted(context.events, key=lambda event: event.at_s),
            {
                target: proxy.link_faults
                for target, proxy in context.target_proxies.items()
            },
            context.drained_periods,
            context.configuration_times_s,
            context.store_faults,
            context.target_periods,
            {
                name: target.arrivals
                for name, target in context.fleet.targets.items()
            },
            context.fleet.crashes,
            context.limited_periods,
            context.crashing_calls,
            [*calls, *context.crashing_calls],
            {
                target: proxy.requests
                for target, proxy in context.target_proxies.items()
            },
            context.cut_periods,
            context.evacuated_periods,
            context.cold_periods,
            context.restorations,
        )

    @staticmethod
    def _add_log_lines(
        violations: list[GuaranteeViolation],
        calls: Sequence[SoakCall],
        fleet: gateway_fleet.GatewayFleet,
    ) -> list[GuaranteeViolation]:
        """Return the violations with the log lines of their requests."""
        instances = {call.attempt: call.instance for call in calls}
        summaries: dict[str, str] = {}
        for number, process in enumerate(fleet.processes):
            attempts = [
                violation.attempt
                for violation in violations
                if instances[violation.attempt] == number
            ]
            if attempts:
                summaries |= instance_log.summarize_requests(
                    process.log_path, attempts
                )
        return [
            violation._replace(
                detail=violation.detail + summaries[violation.attempt]
            )
            for violation in violations
        ]

    def _inject_faults(self, context: FaultContext) -> None:
        gevent.joinall(
            [
                gevent.spawn(self._inject_group, context, SINGLE),
                *(
                    gevent.spawn(
                        self._inject_group, context.with_group(group), group
                    )
                    for group in SOAK_FAULTS
                    if group != SINGLE and group not in self._left_out
                ),
            ],
            raise_error=True,
        )

    def _inject_group(self, context: FaultContext, group: str) -> None:
        """Inject faults of one group and wait until they are over."""
        names = sorted(SOAK_FAULTS[group])
        fault_greenlets = []
        end_s = time.monotonic() + self._fault_period_s
        if context.rng.random() < SKIPPED_SHARES.get(group, 0.0):
            return
        while time.monotonic() < end_s:
            name = context.rng.choice(names)
            self._fault_counts[name] += 1
            fault = SOAK_FAULTS[group][name]
            fault_greenlets.append(gevent.spawn(fault, context))
            if group not in MEAN_FAULT_INTERVALS_S:
                break
            interval_s = MEAN_FAULT_INTERVALS_S[group]
            gevent.sleep(context.rng.expovariate(1 / interval_s))
        gevent.joinall(fault_greenlets, raise_error=True)

    def _wait_until_recovered(self, fleet: gateway_fleet.GatewayFleet) -> bool:
        unrecovered = set(range(len(fleet.processes)))
        end_s = time.monotonic() + MAX_RECOVERY_S
        number = 0
        while unrecovered and time.monotonic() < end_s:
            for instance in list(unrecovered):
                number += 1
                connection = connect(fleet, instance)
                request = CallerRequest('look-up', f'after-{number}')
                calls = exchange_calls(connection, instance, [request])
                connection.close()
                if calls[0].status == 200:
                    unrecovered.discard(instance)
            gevent.sleep(POLL_INTERVAL_S)
        return not unrecovered


def run_soaks(first_seed: int, last_seed: int, fault_period_s: float) -> int:
    """Run a soak for each seed; return how many violated a guarantee."""
    failed_seed_count = 0
    small_shares: list[StreamShares] = []
    for seed in range(first_seed, last_seed + 1):
        report = Soak(seed, fault_period_s).run()
        failed_seed_count += bool(report.violations)
        print(
            f'seed {seed}: statuses {report.statuses}, faults {report.faults}'
        )
        if report.restart_count:
            print(f'  started again by the supervisor: {report.restart_count}')
        print(f'  without a whole answer, by excuse: {report.excuses}')
        print(f'  undisturbed: {report.shares.describe()}')
        if not report.shares.is_large:
            small_shares.append(report.shares)
        for violation in report.violations:
            print(
                f'  BROKEN {violation.guarantee}:'
                f' {violation.attempt} {violation.detail}'
            )
    shares = sum_shares(small_shares)
    is_broken = shares.is_large and not shares.are_kept
    if small_shares:
        print(
            f'{"BROKEN " if is_broken else ""}taken_up_stream_goes_on over'
            f' {len(small_shares)} seeds: {shares.describe()}'
        )
    print(
        f'{last_seed + 1 - first_seed} seeds,'
        f' {failed_seed_count} with a broken promise'
    )
    return failed_seed_count + is_broken
