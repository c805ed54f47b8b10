"""Instances as processes, on the targets of the table."""

import json
import signal
import time
from typing import Any

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.lib.call_table.stepped_target import SteppedTargets
from tests.lib.call_table.table_configuration import TableConfiguration

FREE_SLOTS = 200
TARGETS_PER_SERVICE = 2
POLL_S = 0.02
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
        self._log_offset_bytes = 0
        super().__init__(instance_count, engine_count=0, service_count=0)

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
        self.publish_configuration()
        for number in range(len(self.processes)):
            self.wait_version(number)
            self._wait_state(number, 'reached_instances', len(self.processes))
        self._log_offset_bytes = self.processes[0].log_path.stat().st_size

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
        self._wait_state(
            number, 'configuration_version', self.configuration_version
        )

    def _wait_state(self, number: int, name: str, value: int) -> None:
        expected = f'lagoonbend_state{{name="{name}"}} {value}'.encode()
        with gevent.Timeout(OBSERVE_TIMEOUT_S):
            while expected not in self.read_metrics(number).splitlines():
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
        with self.processes[0].log_path.open('rb') as log:
            log.seek(self._log_offset_bytes)
            return [
                json.loads(line)
                for line in log.read().splitlines()
                if any(f'"{n}"'.encode() in line for n in event_numbers)
            ]

    def wait_logged(self, event_number: str, count: int = 1) -> None:
        """Wait until the first instance has logged an event."""
        with gevent.Timeout(OBSERVE_TIMEOUT_S):
            while len(self.list_log(event_number)) < count:
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
        if not self.list_log('LB0002'):
            return
        end_s = time.monotonic() + self.grace_s
        while self.processes[0].is_running and time.monotonic() < end_s:
            gevent.sleep(POLL_S)
        self.restart_instance(0)
        self.wait_ready(0)

    def _build_settings(self, number: int) -> str:
        return (
            f'{super()._build_settings(number)}\n'
            f'[bounds]\ngrace_s = {self.grace_s}\n'
            f'limit_overshoot_ratio = {LIMIT_OVERSHOOT_RATIO}\n'
        )
