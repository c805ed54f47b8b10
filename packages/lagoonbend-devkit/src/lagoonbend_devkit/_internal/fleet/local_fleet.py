"""A small fleet of real processes on loopback."""

import hashlib
import pathlib
import tempfile
from types import TracebackType

import gevent
import msgspec

from lagoonbend.configuration import PartEntry
from lagoonbend.configuration import split_customers
from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.fleet.instance_spec import InstanceSpec
from lagoonbend_devkit._internal.fleet.ports import find_free_ports
from lagoonbend_devkit._internal.fleet.process import FleetProcess
from lagoonbend_devkit._internal.fleet.sample_document import build_document
from lagoonbend_devkit._internal.fleet.sample_document import build_sample_part
from lagoonbend_devkit._internal.fleet.sample_document import CALLER_KEY
from lagoonbend_devkit._internal.fleet.sample_document import PARTNER
from lagoonbend_entry.dump import Dump

DOMAINS = ('lake-north', 'lake-south')
MODELS = ['assistant', 'trail-assistant', 'drafts']
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class LocalFleet:
    """Simulated platform and targets, and real entry instances.

    Each runs as a process; targets and instances are in two failure domains.
    Use it as a context manager: all processes end with the block. ``leaving``
    holds the names of instances and targets that ``publish_fleet`` marks as
    leaving.

    :param instances_per_domain: number of entry instances in each domain.
    :param repeat_window_ms: time during which a caller may repeat a bare key
        (a key that it chose without a ticket).
    :param heartbeat_ms: interval of the exchanges with peers.
    """

    def __init__(
        self,
        instances_per_domain: int = 2,
        repeat_window_ms: int = 1_000,
        heartbeat_ms: int = 300,
    ) -> None:
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix='lagoonbend-'
        )
        self._directory = pathlib.Path(self._temporary_directory.name)
        self.processes: dict[str, FleetProcess] = {}
        names = [
            (f'{domain}-{number}', domain)
            for domain in DOMAINS
            for number in range(1, instances_per_domain + 1)
        ]
        ports = find_free_ports(1 + 2 * len(DOMAINS) + 3 * len(names))
        self.platform_port = ports.pop()
        self.target_ports = {
            f'{kind}-{domain}': ports.pop()
            for domain in DOMAINS
            for kind in ('engine', 'service')
        }
        self.instances = {
            name: InstanceSpec(
                name,
                PARTNER,
                domain,
                ports.pop(),
                ports.pop(),
                ports.pop(),
                self.platform_port,
                repeat_window_ms,
                heartbeat_ms,
            )
            for name, domain in names
        }
        self.leaving: set[str] = set()
        self.fleet_revision = 0

    def __enter__(self) -> 'LocalFleet':
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all processes of the fleet."""
        for process in self.processes.values():
            process.kill()
        self._temporary_directory.cleanup()

    @property
    def engine_port(self) -> int:
        """Port of the first engine."""
        return self.target_ports[f'engine-{DOMAINS[0]}']

    def start_instance(self, name: str) -> None:
        """Start an instance, without any state of an earlier process."""
        spec = self.instances[name]
        path = self._directory / f'{name}.ini'
        path.write_text(spec.write_settings(), encoding='utf-8')
        arguments = ['-m', 'lagoonbend_entry', 'run', '--settings', str(path)]
        self._start_process(name, arguments)

    def start_target(self, name: str) -> None:
        """Start a target, with an empty record of executions."""
        kind = 'service' if name.startswith('service') else 'engine-new'
        port = str(self.target_ports[name])
        self._start_process(name, ['-m', 'lagoonbend_devkit', kind, port])

    def publish_document(self, document_part: PartEntry) -> None:
        """Publish a document with this part, as operators do."""
        body = msgspec.json.encode(build_document(document_part))
        self._put(self.platform_port, '/v1/values/document', body)

    def publish_sharded_document(
        self, document_part: PartEntry, digits: int
    ) -> None:
        """Publish a document whose customers are split into shards.

        :param document_part: document part with all customers.
        :param digits: number of leading digits of the key digest that decide
            on the shard of a customer.
        """
        shards = split_customers(document_part['customers'], digits)
        for name, body in shards.items():
            self._put(self.platform_port, f'/v1/values/customers-{name}', body)
        sharded_part = document_part.copy()
        sharded_part['customers'] = []
        sharded_part['shards'] = {
            name: hashlib.sha256(body).hexdigest()
            for name, body in shards.items()
        }
        self.publish_document(sharded_part)

    def publish_fleet(self) -> None:
        """Publish the list of instances and targets."""
        self.fleet_revision += 1
        entry = {
            'revision': self.fleet_revision,
            'instances': [
                {
                    'instance': spec.name,
                    'ip': '127.0.0.1',
                    'port': spec.peer_port,
                    'failure_domain': spec.failure_domain,
                    'leaving': spec.name in self.leaving,
                }
                for spec in self.instances.values()
            ],
            'targets': [
                {
                    'target': name,
                    'kind': name.partition('-')[0],
                    'ip': '127.0.0.1',
                    'port': port,
                    'failure_domain': name.partition('-')[2],
                    'models': MODELS,
                    'leaving': name in self.leaving,
                }
                for name, port in self.target_ports.items()
            ],
        }
        body = msgspec.json.encode(entry)
        self._put(self.platform_port, '/v1/fleet', body)

    def set_faults(self, port: int, **faults: int) -> None:
        """Activate exactly these faults at a stand-in."""
        body = msgspec.json.encode(faults)
        self._put(port, '/control/faults', body)

    def cut_links(self, instance: str, addresses: list[str]) -> None:
        """Block the links of an instance to exactly these addresses."""
        body = msgspec.json.encode(addresses)
        self._put(self.instances[instance].operator_port, '/links', body)

    def read_dump(self, instance: str) -> Dump:
        """Return the state that an instance reports."""
        port = self.instances[instance].operator_port
        answer = exchange(port, 'GET', '/dump')
        return msgspec.json.decode(answer.body, type=Dump)

    def call(
        self,
        instance: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        key: str | None = None,
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send one request to an instance as a caller."""
        headers = {
            'Authorization': f'Bearer {CALLER_KEY}',
            'Content-Type': 'application/json',
        }
        if key is not None:
            headers['Idempotency-Key'] = key
        port = self.instances[instance].caller_port
        return exchange(
            port,
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
        )

    def request_ticket(self, instance: str) -> str:
        """Request a ticket from an instance and return it."""
        answer = self.call(instance, 'POST', '/lagoonbend/v1/tickets')
        ticket: str = msgspec.json.decode(answer.body)['ticket']
        return ticket

    def read_executions(self) -> list[str]:
        """Return the executions that all targets have recorded."""
        return [
            text
            for port in self.target_ports.values()
            for text in self.read_json(port, '/control/executions')
        ]

    def read_json(self, port: int, path: str) -> list[str]:
        """Return the JSON value at a path; empty if nothing answers."""
        answer = exchange(port, 'GET', path, timeout_s=2.0)
        if answer.status != 200:
            return []
        value: list[str] = msgspec.json.decode(answer.body)
        return value

    def wait_ready(self, names: list[str]) -> None:
        """Wait until these instances are ready."""
        for name in names:
            port = self.instances[name].operator_port
            self._wait_until_answering(name, port, '/ready')

    def _start_all(self) -> None:
        port = str(self.platform_port)
        self._start_process(
            'platform', ['-m', 'lagoonbend_devkit', 'platform', port]
        )
        for name in self.target_ports:
            self.start_target(name)
        self._wait_until_answering(
            'platform', self.platform_port, '/control/calls'
        )
        for name, target_port in self.target_ports.items():
            self._wait_until_answering(
                name, target_port, '/control/executions'
            )
        seats = [spec.peer_address for spec in self.instances.values()]
        self.publish_document(build_sample_part(1, seats))
        self.publish_fleet()
        for name in self.instances:
            self.start_instance(name)
        self.wait_ready(list(self.instances))

    def _start_process(self, name: str, arguments: list[str]) -> None:
        process = FleetProcess(name, arguments, self._directory)
        self.processes[name] = process

    def _put(self, port: int, path: str, body: bytes) -> None:
        answer = exchange(port, 'PUT', path, body=body)
        if answer.status != 200:
            raise RuntimeError(f'PUT {path}: status {answer.status}')

    def _wait_until_answering(self, name: str, port: int, path: str) -> None:
        with gevent.Timeout(
            START_TIMEOUT_S, RuntimeError(f'{name} does not answer')
        ):
            while exchange(port, 'GET', path, timeout_s=1.0).status != 200:
                if not self.processes[name].is_running:
                    log_text = self.processes[name].log_path.read_text()
                    raise RuntimeError(f'{name} exited: {log_text[-2000:]}')
                gevent.sleep(POLL_INTERVAL_S)
