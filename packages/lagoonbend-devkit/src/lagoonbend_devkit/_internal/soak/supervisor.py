"""Starts processes again that end while they start."""

import signal

import gevent

from lagoonbend_devkit._internal.fleet.process import FleetProcess
from lagoonbend_devkit._internal.gateway import gateway_fleet

POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.2
"""The users' platform starts a process that has ended again after a short
delay."""
FAULT_EXIT_CODES = (-signal.SIGKILL, -signal.SIGTERM)
"""Ends by signals of faults that start the instance again themselves."""


class Supervisor:
    """Starts an instance again whose process ended before its first log line.

    A signal such as SIGHUP ends a process that has no handler yet. A process
    that ends later has failed, and is not started again.

    :param fleet: fleet of the instances.
    """

    def __init__(self, fleet: gateway_fleet.GatewayFleet) -> None:
        self.restart_count = 0
        self._fleet = fleet

    def run(self) -> None:
        """Watch until the greenlet is killed."""
        while True:
            for number, process in enumerate(self._fleet.processes):
                if self._has_ended_at_start(process):
                    gevent.sleep(RESTART_DELAY_S)
                    self._fleet.restart_instance(number)
                    self.restart_count += 1
            gevent.sleep(POLL_INTERVAL_S)

    @staticmethod
    def _has_ended_at_start(process: FleetProcess) -> bool:
        return (
            not process.is_running
            and not process.has_logged
            and process.wait() not in FAULT_EXIT_CODES
        )
