"""A seeded soak of real processes under overlapping faults."""

from collections import Counter
import random
import time

import gevent
from geventhttpclient import HTTPClient

from lagoonbend_devkit._internal.fleet.http import read_answer
from lagoonbend_devkit._internal.published import published_fleet
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.soak_checks import BrokenPromise
from lagoonbend_devkit._internal.soak.soak_checks import find_broken_promises
from lagoonbend_devkit._internal.soak.soak_faults import FaultScene
from lagoonbend_devkit._internal.soak.soak_faults import SOAK_FAULTS
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_record import Standstill
from lagoonbend_devkit._internal.soak.soak_report import SoakReport

CALLERS = 8
CALLS_KEPT = 6
"""Calls that a caller makes on one connection before it opens another."""
FAULT_GAP_S = 0.6
"""Mean time between two faults; each lasts up to 2.5 s, so they overlap."""
PAUSE_S = 0.05
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
TIMEOUT_S = 8.0
RECOVERY_S = 12.0
"""Time within which all instances serve again after the last fault; the
users' bound for recovery."""


class Soak:
    """Callers and faults against one fleet.

    :param seed: decides faults and requests.
    :param span_s: time during which faults strike.
    """

    def __init__(self, seed: int, span_s: float) -> None:
        self._seed = seed
        self._span_s = span_s
        self._calls: list[SoakCall] = []
        self._faults: Counter[str] = Counter()
        self._is_over = False

    def run(self) -> SoakReport:
        """Play; return what was seen."""
        with published_fleet.PublishedFleet(4, make_link=FaultProxy) as fleet:
            callers = [
                gevent.spawn(self._call_again, fleet, number)
                for number in range(CALLERS)
            ]
            standstills = self._strike(fleet)
            recovered = self._wait_recovered(fleet)
            self._is_over = True
            gevent.joinall(callers, raise_error=True)
            calls = [
                self._note_standstills(call, standstills)
                for call in self._calls
            ]
            broken = find_broken_promises(calls, fleet.runs)
        if not recovered:
            detail = f'not all instances serve after {RECOVERY_S:.0f} s'
            broken.append(BrokenPromise('recovers', '', detail))
        statuses = Counter(call.status for call in self._calls)
        return SoakReport(
            self._seed,
            dict(sorted(statuses.items())),
            dict(sorted(self._faults.items())),
            broken,
        )

    @staticmethod
    def _note_standstills(
        call: SoakCall, standstills: list[Standstill]
    ) -> SoakCall:
        end_s = call.sent_s + call.took_s
        stood_s = sum(
            standstill.find_overlap_s(call.sent_s, end_s)
            for standstill in standstills
            if standstill.instance == call.instance
        )
        return call._replace(stood_s=stood_s)

    def _strike(
        self, fleet: published_fleet.PublishedFleet
    ) -> list[Standstill]:
        assert fleet.store_link is not None, 'the soak makes all links'
        scene = FaultScene(
            fleet, fleet.target_links, fleet.store_link, self._seed
        )
        names = sorted(SOAK_FAULTS)
        running = []
        end_s = time.monotonic() + self._span_s
        while time.monotonic() < end_s:
            name = scene.luck.choice(names)
            self._faults[name] += 1
            running.append(gevent.spawn(SOAK_FAULTS[name], scene))
            gevent.sleep(scene.luck.expovariate(1 / FAULT_GAP_S))
        gevent.joinall(running, raise_error=True)
        return scene.standstills

    def _wait_recovered(self, fleet: published_fleet.PublishedFleet) -> bool:
        waiting = set(range(len(fleet.processes)))
        end_s = time.monotonic() + RECOVERY_S
        number = 0
        while waiting and time.monotonic() < end_s:
            for instance in list(waiting):
                number += 1
                client = self._connect(fleet, instance)
                attempt = f'after-{number}'
                call = self._exchange(client, instance, 'look-up', attempt)
                client.close()
                if call.status == 200:
                    waiting.discard(instance)
            gevent.sleep(PAUSE_S)
        return not waiting

    def _call_again(
        self, fleet: published_fleet.PublishedFleet, caller: int
    ) -> None:
        luck = random.Random(f'{self._seed}/{caller}')
        number = 0
        while not self._is_over:
            instance = luck.randrange(len(fleet.processes))
            client = self._connect(fleet, instance)
            for _ in range(luck.randrange(1, CALLS_KEPT)):
                number += 1
                fault = ''
                if luck.random() < TARGET_FAULT_SHARE:
                    fault = luck.choice(TARGET_FAULTS)
                attempt = f'{caller}-{number}'
                route = luck.choice(ROUTES)
                call = self._exchange(client, instance, route, attempt, fault)
                self._calls.append(call)
                gevent.sleep(PAUSE_S)
                if not call.status:
                    break
            client.close()

    @staticmethod
    def _connect(
        fleet: published_fleet.PublishedFleet, instance: int
    ) -> HTTPClient:
        return HTTPClient(
            '127.0.0.1',
            fleet.callers_port(instance),
            connection_timeout=1.0,
            network_timeout=TIMEOUT_S,
        )

    def _exchange(
        self,
        client: HTTPClient,
        instance: int,
        route: str,
        attempt: str,
        fault: str = '',
    ) -> SoakCall:
        headers = published_fleet.write_call_headers(attempt, fault)
        body = f'body of {attempt}'.encode()
        sent_s = time.monotonic()
        answer = read_answer(client, 'POST', f'/{route}/x', body, headers)
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


def run_soaks(first: int, last: int, span_s: float) -> int:
    """Run the seeds from first to last; return how many broke a promise."""
    red = 0
    for seed in range(first, last + 1):
        report = Soak(seed, span_s).run()
        red += bool(report.broken)
        print(
            f'seed {seed}: statuses {report.statuses}, faults {report.faults}'
        )
        for item in report.broken[:10]:
            print(f'  BROKEN {item.promise}: {item.attempt} {item.detail}')
    print(f'{last + 1 - first} seeds, {red} with a broken promise')
    return red
