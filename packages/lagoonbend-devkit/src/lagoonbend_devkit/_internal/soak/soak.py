"""Soak test of real processes under overlapping faults from a seed."""

from collections import Counter
import random
import time

import gevent
from geventhttpclient import HTTPClient

from lagoonbend_devkit._internal.fleet.http import send_request
from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.soak_checks import find_violations
from lagoonbend_devkit._internal.soak.soak_checks import GuaranteeViolation
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import SOAK_FAULTS
from lagoonbend_devkit._internal.soak.soak_record import PausedPeriod
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_report import SoakReport

CALLER_COUNT = 8
CONNECTION_CALLS_END = 6
"""Exclusive upper bound of the calls that a caller makes on one connection."""
MEAN_FAULT_INTERVAL_S = 0.6
"""Mean time between the starts of two faults. Each fault lasts up to 2.5 s, so
that several overlap."""
CALL_PAUSE_S = 0.05
TARGET_FAULT_SHARE = 0.15
TARGET_FAULTS = (
    'reset',
    'error',
    'unsigned',
    'noise',
    'truncated',
    'foreign',
    'cut-stream',
    'turned-away',
)
ROUTES = ('stream', 'once-stream', 'booking', 'look-up')
CALL_TIMEOUT_S = 8.0
MAX_RECOVERY_S = 12.0
"""Time after the last fault within which all instances must serve again; the
recovery time that the users require."""


class Soak:
    """Runs callers against one fleet while faults are injected.

    :param seed: seed of the faults and requests.
    :param fault_period_s: time during which faults are injected.
    """

    def __init__(self, seed: int, fault_period_s: float) -> None:
        self._seed = seed
        self._fault_period_s = fault_period_s
        self._calls: list[SoakCall] = []
        self._fault_counts: Counter[str] = Counter()
        self._is_stopping = False

    def run(self) -> SoakReport:
        """Run the soak; return its result."""
        with gateway_fleet.GatewayFleet(4, create_proxy=FaultProxy) as fleet:
            caller_greenlets = [
                gevent.spawn(self._run_caller, fleet, number)
                for number in range(CALLER_COUNT)
            ]
            paused_periods = self._inject_faults(fleet)
            is_recovered = self._wait_until_recovered(fleet)
            self._is_stopping = True
            gevent.joinall(caller_greenlets, raise_error=True)
            calls = [
                self._record_paused_time(call, paused_periods)
                for call in self._calls
            ]
            violations = find_violations(calls, fleet.runs)
        if not is_recovered:
            detail = f'not all instances serve after {MAX_RECOVERY_S:.0f} s'
            violations.append(GuaranteeViolation('recovers', '', detail))
        statuses = Counter(call.status for call in self._calls)
        return SoakReport(
            self._seed,
            dict(sorted(statuses.items())),
            dict(sorted(self._fault_counts.items())),
            violations,
        )

    @staticmethod
    def _record_paused_time(
        call: SoakCall, paused_periods: list[PausedPeriod]
    ) -> SoakCall:
        end_s = call.sent_s + call.duration_s
        paused_s = sum(
            paused_period.compute_overlap_s(call.sent_s, end_s)
            for paused_period in paused_periods
            if paused_period.instance == call.instance
        )
        return call._replace(paused_s=paused_s)

    def _inject_faults(
        self, fleet: gateway_fleet.GatewayFleet
    ) -> list[PausedPeriod]:
        assert fleet.store_proxy is not None, (
            'the soak needs a proxy in front of the store'
        )
        context = FaultContext(
            fleet, fleet.target_proxies, fleet.store_proxy, self._seed
        )
        names = sorted(SOAK_FAULTS)
        fault_greenlets = []
        end_s = time.monotonic() + self._fault_period_s
        while time.monotonic() < end_s:
            name = context.rng.choice(names)
            self._fault_counts[name] += 1
            fault_greenlets.append(gevent.spawn(SOAK_FAULTS[name], context))
            gevent.sleep(context.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
        gevent.joinall(fault_greenlets, raise_error=True)
        return context.paused_periods

    def _wait_until_recovered(self, fleet: gateway_fleet.GatewayFleet) -> bool:
        unrecovered = set(range(len(fleet.processes)))
        end_s = time.monotonic() + MAX_RECOVERY_S
        number = 0
        while unrecovered and time.monotonic() < end_s:
            for instance in list(unrecovered):
                number += 1
                client = self._connect(fleet, instance)
                attempt = f'after-{number}'
                call = self._exchange(client, instance, 'look-up', attempt)
                client.close()
                if call.status == 200:
                    unrecovered.discard(instance)
            gevent.sleep(CALL_PAUSE_S)
        return not unrecovered

    def _run_caller(
        self, fleet: gateway_fleet.GatewayFleet, caller_number: int
    ) -> None:
        rng = random.Random(f'{self._seed}/{caller_number}')
        number = 0
        while not self._is_stopping:
            instance = rng.randrange(len(fleet.processes))
            client = self._connect(fleet, instance)
            for _ in range(rng.randrange(1, CONNECTION_CALLS_END)):
                number += 1
                fault = ''
                if rng.random() < TARGET_FAULT_SHARE:
                    fault = rng.choice(TARGET_FAULTS)
                attempt = f'{caller_number}-{number}'
                route = rng.choice(ROUTES)
                call = self._exchange(client, instance, route, attempt, fault)
                self._calls.append(call)
                gevent.sleep(CALL_PAUSE_S)
                if not call.status:
                    break
            client.close()

    @staticmethod
    def _connect(
        fleet: gateway_fleet.GatewayFleet, instance: int
    ) -> HTTPClient:
        return HTTPClient(
            '127.0.0.1',
            fleet.callers_port(instance),
            connection_timeout=1.0,
            network_timeout=CALL_TIMEOUT_S,
        )

    def _exchange(
        self,
        client: HTTPClient,
        instance: int,
        route: str,
        attempt: str,
        fault: str = '',
    ) -> SoakCall:
        headers = gateway_fleet.build_call_headers(attempt, fault)
        body = f'body of {attempt}'.encode()
        sent_s = time.monotonic()
        answer = send_request(client, 'POST', f'/{route}/x', body, headers)
        return SoakCall(
            attempt,
            instance,
            route,
            body,
            fault,
            answer.status,
            answer.body,
            'server-stamp' in answer.headers,
            sent_s,
            time.monotonic() - sent_s,
        )


def run_soaks(first_seed: int, last_seed: int, fault_period_s: float) -> int:
    """Run a soak for each seed; return how many violated a guarantee."""
    failed_seed_count = 0
    for seed in range(first_seed, last_seed + 1):
        report = Soak(seed, fault_period_s).run()
        failed_seed_count += bool(report.violations)
        print(
            f'seed {seed}: statuses {report.statuses}, faults {report.faults}'
        )
        for violation in report.violations[:10]:
            print(
                f'  BROKEN {violation.guarantee}:'
                f' {violation.attempt} {violation.detail}'
            )
    print(
        f'{last_seed + 1 - first_seed} seeds,'
        f' {failed_seed_count} with a broken promise'
    )
    return failed_seed_count
