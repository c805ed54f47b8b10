"""Records when the instances of a fleet begin to listen."""

import time

import gevent
import gevent.socket

from lagoonbend_devkit._internal.fleet.ports import LOOPBACK
from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.instance_event import InstanceEvent
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind

POLL_INTERVAL_S = 0.02


class InstanceWatch:
    """Connects to each new process until it accepts a connection.

    :param fleet: fleet of the instances.
    :param events: receives an event for each process that listens.
    """

    def __init__(
        self, fleet: gateway_fleet.GatewayFleet, events: list[InstanceEvent]
    ) -> None:
        self._fleet = fleet
        self._events = events
        self._listening_pids = [process.pid for process in fleet.processes]

    def run(self) -> None:
        """Watch until the greenlet is killed."""
        while True:
            for number, process in enumerate(self._fleet.processes):
                if (
                    process.pid != self._listening_pids[number]
                    and process.is_running
                    and self._is_listening(number)
                    and not process.was_stopped
                ):
                    self._listening_pids[number] = process.pid
                    self._events.append(
                        InstanceEvent(
                            number,
                            InstanceEventKind.LISTENING,
                            time.monotonic(),
                        )
                    )
            gevent.sleep(POLL_INTERVAL_S)

    def _is_listening(self, number: int) -> bool:
        address = (LOOPBACK, self._fleet.callers_port(number))
        try:
            gevent.socket.create_connection(address, 1.0).close()
        except OSError:
            return False
        return True
