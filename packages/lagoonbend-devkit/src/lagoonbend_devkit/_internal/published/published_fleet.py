"""Instances as processes on stand-ins of the users' platform."""

from collections.abc import Callable
import os
import pathlib
import tempfile
from types import TracebackType

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.fleet.ports import find_free_ports
from lagoonbend_devkit._internal.fleet.process import FleetProcess
from lagoonbend_devkit._internal.published import published_store
from lagoonbend_devkit._internal.published import published_target
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy

HOST = 'calls.example'
KEY = 'k-first'
CUSTOMER = 'first-customer'
READY_S = 10.0
POLL_S = 0.05
DOMAINS = ('domain-a', 'domain-b')

SETTINGS = """\
[instance]
name = {name}
failure_domain = {domain}

[listen]
callers_endpoint = 127.0.0.1:{callers}
readiness_endpoint = 127.0.0.1:{readiness}
peers_endpoint = 127.0.0.1:{peers}
metrics_endpoint = 127.0.0.1:{metrics}

[peers]
seed_endpoints = {seeds}

[platform]
endpoint = {store}
"""


class PublishedFleet:
    """Store, targets and instances; use as a context manager.

    :param instance_count: instances, in two failure domains by turns.
    :param engine_count: engines of the service ``chat``.
    :param service_count: servers of the service ``desk``.
    :param make_link: makes the link that instances reach a target or the
        store by, from its endpoint; without it they reach them directly.
    """

    def __init__(
        self,
        instance_count: int = 2,
        engine_count: int = 2,
        service_count: int = 2,
        make_link: Callable[[str], FaultProxy] | None = None,
    ) -> None:
        self._directory = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self._directory.name)
        self.store = published_store.PublishedStore()
        self.runs: list[published_target.TargetRun] = []
        self.targets: dict[str, published_target.PublishedTarget] = {}
        self.target_links: dict[str, FaultProxy] = {}
        self._make_link = make_link
        self.store_link = make_link(self.store.endpoint) if make_link else None
        self.version = 1
        self.publish()
        for number in range(engine_count):
            self.add_target(f'chat-{number}', 'chat')
        for number in range(service_count):
            self.add_target(f'desk-{number}', 'desk')
        ports = find_free_ports(4 * instance_count)
        self._ports = [
            ports[4 * number : 4 * number + 4]
            for number in range(instance_count)
        ]
        self.processes = [
            self.start_instance(number) for number in range(instance_count)
        ]

    def __enter__(self) -> 'PublishedFleet':
        for number in range(len(self.processes)):
            self.wait_ready(number)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self.processes:
            process.kill()
        for link in self.target_links.values():
            link.stop()
        if self.store_link is not None:
            self.store_link.stop()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        self._directory.cleanup()

    def callers_port(self, number: int) -> int:
        """Return the callers' port of an instance."""
        return self._ports[number][0]

    def metrics_port(self, number: int) -> int:
        """Return the port of an instance's metrics."""
        return self._ports[number][3]

    def start_instance(self, number: int) -> FleetProcess:
        """Start an instance, or start it again."""
        path = self.root / f'instance-{number}.ini'
        path.write_text(self._write_settings(number), encoding='utf-8')
        os.environ['LAGOONBEND_SETTINGS'] = str(path)
        process = FleetProcess(
            f'instance-{number}', ['-m', 'lagoonbend_entry.gateway'], self.root
        )
        if number < len(getattr(self, 'processes', [])):
            self.processes[number] = process
        return process

    def restart_instance(self, number: int) -> None:
        """Start an instance again, unless it runs."""
        if not self.processes[number].is_running:
            self.start_instance(number)

    def is_ready(self, number: int) -> bool:
        """Return what an instance tells the balancer."""
        path = '/lagoonbend/readyz'
        answer = exchange(self._ports[number][1], 'GET', path, timeout_s=1.0)
        return answer.status == 200

    def wait_ready(self, number: int, *, ready: bool = True) -> None:
        """Wait until an instance tells the balancer a readiness."""
        with gevent.Timeout(READY_S):
            while self.is_ready(number) is not ready:
                gevent.sleep(POLL_S)

    def add_target(
        self, name: str, service: str
    ) -> published_target.PublishedTarget:
        """Start a target and register it."""
        target = published_target.PublishedTarget(name, self.runs)
        self.targets[name] = target
        if self._make_link is not None:
            self.target_links[name] = self._make_link(target.endpoint)
        self.register(name, service)
        return target

    def register(self, name: str, service: str, state: str = 'ready') -> None:
        """Write the registration of a target."""
        self.store.put(
            f'servers/{name}',
            {
                'service': service,
                'address': (
                    self.target_links.get(name, self.targets[name]).endpoint
                ),
                'zone': DOMAINS[0],
                'version': 'v1',
                'slots': 4,
                'state': state,
                'cold-remaining-ms': 0,
                'sequence': 1,
            },
        )

    def publish(
        self, *, keys: tuple[str, ...] = (KEY,), rate_per_s: int = 0
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': [
                    _write_route('stream', 'chat', 'streaming', True),
                    _write_route('once-stream', 'chat', 'streaming', False),
                    _write_route('booking', 'desk', 'unsafe', False),
                    _write_route('look-up', 'desk', 'safe', False),
                ],
                'services': [
                    {'name': 'chat', 'engine': {'kv-capacity': 100_000}},
                    {'name': 'desk', 'max-connections': 50},
                ],
                'limits': {
                    'max-header-bytes': 8_192,
                    'max-body-bytes': 100_000,
                    'header-timeout-ms': 700,
                    'idle-timeout-ms': 5_000,
                },
                'tenants': [
                    {
                        'name': CUSTOMER,
                        'api-keys': list(keys),
                        'rate-per-s': rate_per_s,
                        'burst': rate_per_s,
                    }
                ],
            },
        )

    def _write_settings(self, number: int) -> str:
        callers, readiness, peers, metrics = self._ports[number]
        return SETTINGS.format(
            name=f'instance-{number}',
            domain=DOMAINS[number % len(DOMAINS)],
            callers=callers,
            readiness=readiness,
            peers=peers,
            metrics=metrics,
            seeds=f'127.0.0.1:{self._ports[0][2]}',
            store=(self.store_link or self.store).endpoint,
        )


def write_call_headers(
    attempt: str, fault: str = '', key: str = KEY
) -> dict[str, str]:
    """Return the headers of a caller's request.

    :param fault: fault that a target is asked for; empty for none.
    """
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Authorization': f'Bearer {key}',
    }
    if fault:
        headers['X-Fault'] = fault
    return headers


def _write_route(
    name: str, service: str, kind: str, resumable: bool
) -> dict[str, object]:
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'route-kind': kind,
        'timeout-ms': 3_000,
        'target-latency-ms': 300,
        'priority': 0,
        'service': service,
        'max-attempts': 2,
        'public': False,
        'sticky': False,
        'resumable': resumable,
        'gap-target-ms': 400,
    }
