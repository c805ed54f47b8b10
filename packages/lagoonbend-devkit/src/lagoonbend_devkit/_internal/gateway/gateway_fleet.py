"""Runs gateway instances as processes on a simulated platform."""

from collections.abc import Callable
import os
import pathlib
import re
import tempfile
import time
from types import TracebackType

import gevent
import msgspec

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.fleet.ports import find_free_ports
from lagoonbend_devkit._internal.fleet.process import FleetProcess
from lagoonbend_devkit._internal.gateway import standin_store
from lagoonbend_devkit._internal.gateway import standin_target
from lagoonbend_devkit._internal.gateway.link_cut import CUT_FILE_VARIABLE
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from lagoonbend_devkit._internal.gateway.link_cut import LinkCut
from lagoonbend_devkit._internal.gateway.target_crash import TargetCrash
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.fault_proxy import ProxyMode

GATEWAY_MODULE = 'lagoonbend_entry.gateway'
CUT_GATEWAY_MODULE = 'lagoonbend_devkit._internal.gateway.cut_gateway'
HOST = 'calls.example'
API_KEY = 'k-first'
ROUTE_TIMEOUT_MS = 3_000
CUSTOMER = 'first-customer'
FIRST_VERSION = standin_target.FIRST_VERSION
FIRST_BORN_MS = 1_700_000_000_000
"""Start of a target in Unix milliseconds, unless another one is given."""
READY_TIMEOUT_S = 10.0
START_TIME_S = 0.5
"""Processor time that the start of an instance may take. In a large fleet all
of them share the machine."""
POLL_INTERVAL_S = 0.05
BLOCK_TOKENS = 20
LAPSE_S = 1.5
"""Time from the end of a target until its registration is removed."""
RESTART_S = 2.5
"""Time from the end of a target until it has started again."""
ENGINE_SERVICE = 'chat'
DOMAINS = ('domain-a', 'domain-b')
COLD_START_S = 2.0
"""Time for which a target is cold that starts during traffic."""
COLD_BOUNDS = 'cold_overshoot_ratio = 1.5\ncold_slack = 5\n'

SETTINGS_TEMPLATE = """\
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
{bounds}"""

MAX_BODY_BYTES = 100_000


class GatewayFleet:
    """A simulated store, simulated targets and real gateway instances.

    Use it as a context manager: all of them end with the block.

    :param instance_count: number of instances, alternately in one and the
        other of two failure domains.
    :param engine_count: number of engines of the service ``chat``.
    :param service_count: number of servers of the service ``desk``.
    :param create_proxy: creates the proxy through which instances connect to
        a target or to the store, from the endpoint of that server; None if
        they connect directly.
    :param can_cut: True if the links of an instance to targets can be cut, for
        which instances run as another program.
    :param grace_s: time that instances have to stop; None for their default.
    :param target_domains: failure domains of the targets, alternately by the
        number in their names.
    :param cold_per_s: requests a second that a cold target takes; 0 for no
        bound. Targets become cold as ``cold_until_s`` says.
    """

    def __init__(
        self,
        instance_count: int = 2,
        engine_count: int = 2,
        service_count: int = 2,
        create_proxy: Callable[[str], FaultProxy] | None = None,
        *,
        can_cut: bool = False,
        grace_s: int | None = None,
        target_domains: tuple[str, ...] = DOMAINS[:1],
        cold_per_s: float = 0.0,
    ) -> None:
        self._module = CUT_GATEWAY_MODULE if can_cut else GATEWAY_MODULE
        self._temporary_directory = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self._temporary_directory.name)
        self.store = standin_store.StandinStore()
        self.runs: list[standin_target.TargetRun] = []
        self.targets: dict[str, standin_target.StandinTarget] = {}
        self.crashing_block = ''
        self.crashing_path = ''
        self.crashes: list[TargetCrash] = []
        self.on_crash: Callable[[str], None] = _ignore_names
        self.on_restart: Callable[[str, str], None] = _ignore_names
        self._restarts: list[gevent.Greenlet] = []
        self.target_proxies: dict[str, FaultProxy] = {}
        self._create_proxy = create_proxy
        self._grace_s = grace_s
        self._target_domains = target_domains
        self.cold_per_s = cold_per_s
        self.cold_until_s: dict[str, float] = {}
        self.store_proxy = (
            create_proxy(self.store.endpoint) if create_proxy else None
        )
        self.configuration_version = 1
        self.publish_configuration()
        for number in range(engine_count):
            self.add_target(f'chat-{number}', ENGINE_SERVICE)
        for number in range(service_count):
            self.add_target(f'desk-{number}', 'desk')
        ports = find_free_ports(4 * instance_count)
        # Ports of each instance: callers, readiness, peers and metrics.
        self._ports = [
            ports[4 * number : 4 * number + 4]
            for number in range(instance_count)
        ]
        self.processes = [
            self.start_instance(number) for number in range(instance_count)
        ]

    def __enter__(self) -> 'GatewayFleet':
        try:
            for number in range(len(self.processes)):
                self.wait_ready(number)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        gevent.killall(self._restarts)
        for process in self.processes:
            process.kill()
        for proxy in self.target_proxies.values():
            proxy.stop()
        if self.store_proxy is not None:
            self.store_proxy.stop()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        self._temporary_directory.cleanup()

    def callers_port(self, number: int) -> int:
        """Return the port on which an instance serves callers."""
        return self._ports[number][0]

    def metrics_port(self, number: int) -> int:
        """Return the port on which an instance serves its metrics."""
        return self._ports[number][3]

    def start_instance(self, number: int) -> FleetProcess:
        """Start an instance, for the first time or again."""
        path = self.root / f'instance-{number}.ini'
        path.write_text(self._build_settings(number), encoding='utf-8')
        os.environ['LAGOONBEND_SETTINGS'] = str(path)
        cut_path = self._find_cut_path(number)
        cut_path.touch()
        os.environ[CUT_FILE_VARIABLE] = str(cut_path)
        process = FleetProcess(
            f'instance-{number}', ['-m', self._module], self.root
        )
        if number < len(getattr(self, 'processes', [])):
            self.processes[number] = process
        return process

    def cut_links(self, number: int, kind: CutKind, prefix: str = '') -> None:
        """Cut an instance off from all targets that are registered now.

        :param prefix: begin of the names of the targets that are concerned.
        """
        endpoints = [
            self.target_proxies.get(name, target).endpoint
            for name, target in self.targets.items()
            if name.startswith(prefix)
        ]
        ports = tuple(int(text.rpartition(':')[2]) for text in endpoints)
        self._write_cut(number, LinkCut(kind, ports))

    def mend_links(self, number: int) -> None:
        """End the cut of an instance."""
        self._write_cut(number, LinkCut())

    def _write_cut(self, number: int, cut: LinkCut) -> None:
        path = self._find_cut_path(number)
        # The instance must not read a part of it.
        new_path = path.with_suffix('.new')
        new_path.write_bytes(msgspec.json.encode(cut))
        new_path.rename(path)

    def _find_cut_path(self, number: int) -> pathlib.Path:
        return self.root / f'instance-{number}.cut'

    def restart_instance(self, number: int) -> None:
        """Start an instance again unless it is running."""
        if not self.processes[number].is_running:
            self.start_instance(number)

    def is_ready(self, number: int) -> bool:
        """Return whether an instance reports itself as ready."""
        path = '/lagoonbend/readyz'
        answer = exchange(self._ports[number][1], 'GET', path, timeout_s=1.0)
        return answer.status == 200

    def wait_ready(self, number: int, *, ready: bool = True) -> None:
        """Wait until an instance reports itself as ready, or as not ready."""
        timeout_s = max(READY_TIMEOUT_S, START_TIME_S * len(self._ports))
        with gevent.Timeout(timeout_s):
            while self.is_ready(number) is not ready:
                gevent.sleep(POLL_INTERVAL_S)

    def add_target(
        self, name: str, service: str, version: str = FIRST_VERSION
    ) -> standin_target.StandinTarget:
        """Start a target and register it in the store."""
        target = standin_target.StandinTarget(name, self.runs, version=version)
        target.crashing_block = self.crashing_block
        target.crashing_path = self.crashing_path
        target.on_crash = lambda crashed, cause: self._restart_later(
            crashed, service, cause
        )
        self.targets[name] = target
        if self._create_proxy is not None:
            self.target_proxies[name] = self._create_proxy(target.endpoint)
        self.register_target(name, service, version=version)
        return target

    def set_crashing_block(self, block: str) -> None:
        """Let all targets end that begin an answer to a prompt with a block.

        Each starts again under a new name, which ends in a tilde and the
        number of its life, once its registration has lapsed.
        """
        self.crashing_block = block
        for target in self.targets.values():
            target.crashing_block = block

    def set_crashing_path(self, path: str) -> None:
        """Let all targets end that run a request with a path and query.

        They start again as with ``set_crashing_block``.
        """
        self.crashing_path = path
        for target in self.targets.values():
            target.crashing_path = path

    def _restart_later(
        self, crashed: standin_target.StandinTarget, service: str, cause: str
    ) -> None:
        self.crashes.append(TargetCrash(crashed.name, cause, time.monotonic()))
        self.on_crash(crashed.name)
        if crashed.name in self.target_proxies:
            self.target_proxies[crashed.name].stop()
        self._restarts.append(gevent.spawn(self._restart, crashed, service))

    def _restart(
        self, crashed: standin_target.StandinTarget, service: str
    ) -> None:
        gevent.sleep(LAPSE_S)
        self.store.delete(f'servers/{crashed.name}')
        gevent.sleep(RESTART_S - LAPSE_S)
        name, _, life = crashed.name.partition('~')
        new_name = f'{name}~{int(life or 1) + 1}'
        self.add_target(new_name, service, crashed.version)
        self.on_restart(crashed.name, new_name)

    def find_domain(self, name: str) -> str:
        """Return the failure domain of a target."""
        number = re.search(r'\d+', name)
        index = int(number[0]) if number else 0
        return self._target_domains[index % len(self._target_domains)]

    def register_target(
        self,
        name: str,
        service: str,
        state: str = 'ready',
        version: str = FIRST_VERSION,
        born_ms: int = FIRST_BORN_MS,
    ) -> None:
        """Write the registration of a target to the store."""
        endpoint = self.target_proxies.get(name, self.targets[name]).endpoint
        self.register_endpoint(
            name, service, endpoint, state, version, born_ms
        )

    def remove_target(self, name: str) -> None:
        """Remove the registration of a target and stop it."""
        self.store.delete(f'servers/{name}')
        if name in self.target_proxies:
            self.target_proxies[name].mode = ProxyMode.REFUSE
            self.target_proxies[name].reset_all()
        self.targets[name].stop()

    def register_endpoint(
        self,
        name: str,
        service: str,
        endpoint: str,
        state: str = 'ready',
        version: str = FIRST_VERSION,
        born_ms: int = FIRST_BORN_MS,
    ) -> None:
        """Write the registration of a server at ``ip:port`` to the store."""
        if name in self.targets:
            self.targets[name].born_ms = born_ms
        cold_s = self.cold_until_s.get(name, 0.0) - time.monotonic()
        self.store.put(
            f'servers/{name}',
            {
                'service': service,
                'address': endpoint,
                'zone': self.find_domain(name),
                'version': version,
                'born': born_ms,
                'slots': 4,
                'state': state,
                'cold-remaining-ms': int(1000 * max(0.0, cold_s)),
                'sequence': 1,
            },
        )

    def publish_configuration(
        self,
        *,
        keys: tuple[str, ...] = (API_KEY,),
        rate_per_s: int = 0,
        attempt_limit: int = 2,
        is_varied: bool = False,
        timeout_ms: int = ROUTE_TIMEOUT_MS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Write the next version of the configuration to the store.

        :param timeout_ms: timeout of all routes.
        :param max_body_bytes: limit on the body of a request.
        :param is_varied: True to move the routes of the service ``desk`` to
            the engines, add a route and a key, and shorten the limit on idle
            connections.
        """
        self.configuration_version += 3
        desk = 'chat' if is_varied else 'desk'
        routes = [
            _build_route('stream', 'chat', 'streaming', True),
            _build_route('once-stream', 'chat', 'streaming', False),
            _build_route('booking', desk, 'unsafe', False),
            _build_route('look-up', desk, 'safe', False),
        ]
        if is_varied:
            routes.append(_build_route('report', 'desk', 'safe', False))
            keys = (*keys, 'k-second')
        cold_fields = {}
        if self.cold_per_s:
            cold_fields = {
                'cold-start-s': COLD_START_S,
                'cold-per-s': self.cold_per_s,
            }
        self.store.put(
            'op/config',
            {
                'version': self.configuration_version,
                'routes': [
                    {
                        **route,
                        'max-attempts': attempt_limit,
                        'timeout-ms': timeout_ms,
                    }
                    for route in routes
                ],
                'services': [
                    {
                        'name': 'chat',
                        'engine': {'kv-capacity': 100_000},
                        'health-path': standin_target.HEALTH_PATH,
                        **cold_fields,
                    },
                    {
                        'name': 'desk',
                        'max-connections': 50,
                        'health-path': standin_target.HEALTH_PATH,
                        **cold_fields,
                    },
                ],
                'limits': {
                    'max-header-bytes': 8_192,
                    'max-body-bytes': max_body_bytes,
                    'header-timeout-ms': 700,
                    'idle-timeout-ms': 4_000 if is_varied else 5_000,
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

    def _build_settings(self, number: int) -> str:
        callers, readiness, peers, metrics = self._ports[number]
        return SETTINGS_TEMPLATE.format(
            name=f'instance-{number}',
            domain=DOMAINS[number % len(DOMAINS)],
            callers=callers,
            readiness=readiness,
            peers=peers,
            metrics=metrics,
            seeds=f'127.0.0.1:{self._ports[0][2]}',
            store=(self.store_proxy or self.store).endpoint,
            bounds=self._build_bounds(),
        )

    def _build_bounds(self) -> str:
        lines = '' if self._grace_s is None else f'grace_s = {self._grace_s}\n'
        lines += COLD_BOUNDS if self.cold_per_s else ''
        return f'[bounds]\n{lines}' if lines else ''


def _ignore_names(*names: str) -> None:
    """Do nothing when a target ends or starts again."""


def build_call_headers(
    attempt: str,
    fault: str = '',
    key: str = API_KEY,
    resumes: str = '',
    last_event: int = 0,
    blocks: tuple[str, ...] = (),
) -> dict[str, str]:
    """Return the headers of a caller's request.

    :param attempt: identifier of the attempt.
    :param fault: fault that the target shall inject; empty for none.
    :param key: API key of the customer.
    :param resumes: attempt that began the stream that this one takes up;
        empty for a new request.
    :param last_event: number of the last event that was received of it.
    :param blocks: blocks of the prompt before its own; none for no prompt.
    """
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Authorization': f'Bearer {key}',
    }
    if fault:
        headers['X-Fault'] = fault
    if resumes:
        headers |= {'Resumes': resumes, 'Last-Event-Id': str(last_event)}
    if blocks:
        headers['Prefix-Hash'] = ','.join(
            f'{block}:{BLOCK_TOKENS}'
            for block in (*blocks, resumes or attempt)
        )
    return headers


def _build_route(
    name: str, service: str, kind: str, resumable: bool
) -> dict[str, object]:
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'route-kind': kind,
        'target-latency-ms': 300,
        'priority': 0,
        'service': service,
        'public': False,
        'sticky': False,
        'resumable': resumable,
        'gap-target-ms': 400,
    }
