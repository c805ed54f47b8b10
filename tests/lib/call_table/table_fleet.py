"""Instances as processes, on the targets of the table."""

import signal
import time
from typing import Any

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.lib.call_table.log_reader import LogReader
from tests.lib.call_table.stepped_target import SteppedTargets
from tests.lib.call_table.table_configuration import TableConfiguration

FREE_SLOTS = 200
TARGETS_PER_SERVICE = 2
POLL_S = 0.02
DRAIN_BEGUN = 'LB0002'
RELOADED = 'LB0007'
CALL_ENDED = 'LB0203'
ATTEMPT_FAILED = 'LB0205'
RULES_APPLIED = 'LB0508'
READ_EVENTS = (
    DRAIN_BEGUN,
    RELOADED,
    CALL_ENDED,
    ATTEMPT_FAILED,
    RULES_APPLIED,
)
OBSERVE_TIMEOUT_S = 15.0
LIMIT_OVERSHOOT_RATIO = 0.25
"""As in the users' deployments."""


class TableFleet(gateway_fleet.GatewayFleet):
    """Instances whose first one takes the calls of the table.

    :param instance_count: number of instances.
    :param grace_s: time from SIGTERM until the instance would be killed.
    """

    def __init__(self, instance_count: int = 3, grace_s: int = 30) -> None:
        self.stepped_targets = SteppedTargets()
        self.grace_s = grace_s
        self._configuration: TableConfiguration | None = None
        self._is_connected = False
        super().__init__(instance_count, engine_count=0, service_count=0)
        self._logs = [
            LogReader(process.log_path, READ_EVENTS)
            for process in self.processes
        ]

    def __exit__(self, *details: Any) -> None:
        """Stop the instances, then the targets."""
        super().__exit__(*details)
        self.stepped_targets.stop()

    def begin_batch(self, configuration: TableConfiguration) -> None:
        """Replace services, targets and configuration."""
        if self._configuration is not None:
            for service in self._configuration.list_services():
                for number in range(TARGETS_PER_SERVICE):
                    self.store.delete(f'servers/{service}.{number}')
        self._configuration = configuration
        for service in configuration.list_services():
            is_full = service.endswith('.full')
            self.set_slots(service, 1 if is_full else FREE_SLOTS)
        self._connect()
        self.publish_configuration()
        for number, log in enumerate(self._logs):
            self.wait_version(number)
            log.skip()

    def set_slots(self, service: str, slots: int) -> None:
        """Register the targets of a service with a number of slots."""
        for number in range(TARGETS_PER_SERVICE):
            self.store.put(
                f'servers/{service}.{number}',
                {
                    'service': service,
                    'address': self.stepped_targets.endpoint,
                    'zone': gateway_fleet.DOMAINS[number],
                    'version': 'v1',
                    'slots': slots,
                    'state': 'ready',
                    'cold-remaining-ms': 0,
                    'sequence': 1,
                },
            )

    def publish_configuration(self, **unused: Any) -> None:
        """Write the next version of the batch's configuration."""
        configuration = self._configuration or TableConfiguration('none', ())
        self.configuration_version += 3
        self.store.put(
            'op/config', configuration.build(self.configuration_version)
        )

    def wait_version(self, number: int = 0) -> None:
        """Wait until an instance has the newest configuration."""
        with gevent.Timeout(OBSERVE_TIMEOUT_S):
            while self.configuration_version not in (
                line['version']
                for line in self._logs[number].find(RULES_APPLIED)
            ):
                gevent.sleep(POLL_S)

    def count_waiting(self) -> int:
        """Return the number of calls that wait for slots."""
        return sum(
            int(line.split()[-1])
            for number in range(len(self.processes))
            for line in self.read_metrics(number).splitlines()
            if line.startswith(b'lagoonbend_waiting_calls{')
        )

    def read_metrics(self, number: int) -> bytes:
        """Return the metrics of an instance as text."""
        port = self.metrics_port(number)
        return exchange(port, 'GET', '/metrics', timeout_s=2.0).body

    def list_log(self, *event_numbers: str) -> list[dict[str, Any]]:
        """Return lines of the first instance since the batch began."""
        return self._logs[0].find(*event_numbers)

    def wait_logged(self, event_number: str) -> None:
        """Wait until the first instance has logged an event."""
        with gevent.Timeout(OBSERVE_TIMEOUT_S):
            while not self.list_log(event_number):
                gevent.sleep(POLL_S)

    def change_settings(self) -> None:
        """Write the settings of the first instance with another value."""
        self.grace_s += 1
        path = self.root / 'instance-0.ini'
        path.write_text(self._build_settings(0), encoding='utf-8')

    def stop_first(self) -> None:
        """Send SIGTERM to the first instance."""
        self.processes[0].send(signal.SIGTERM)

    def replace_first(self) -> None:
        """Start the first instance again if it has been stopped."""
        if not self.list_log(DRAIN_BEGUN):
            return
        self._is_connected = False
        end_s = time.monotonic() + self.grace_s
        while self.processes[0].is_running and time.monotonic() < end_s:
            gevent.sleep(POLL_S)
        self.restart_instance(0)
        self.wait_ready(0)

    def _connect(self) -> None:
        """Wait until all instances reach each other."""
        count = len(self.processes)
        expected = f'lagoonbend_state{{name="reached_instances"}} {count}'
        with gevent.Timeout(OBSERVE_TIMEOUT_S):
            while not self._is_connected:
                self._is_connected = all(
                    expected.encode() in self.read_metrics(n).splitlines()
                    for n in range(count)
                )
                gevent.sleep(POLL_S)

    def _build_settings(self, number: int) -> str:
        return (
            f'{super()._build_settings(number)}\n'
            f'[bounds]\ngrace_s = {self.grace_s}\n'
            f'limit_overshoot_ratio = {LIMIT_OVERSHOOT_RATIO}\n'
        )
