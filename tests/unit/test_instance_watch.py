"""Notes of when an instance listens, against which the soak checks calls.

Guards against a check that takes a stopped instance for one that listens.
"""

import socket
import unittest
from unittest import mock

import gevent

from lagoonbend_devkit._internal.soak.instance_event import InstanceEvent
from lagoonbend_devkit._internal.soak.instance_watch import InstanceWatch


class InstanceWatchTest(unittest.TestCase):
    """A new process that accepts connections."""

    def watch(self, *, was_stopped: bool) -> list[InstanceEvent]:
        """Return what is noted of a process that has started meanwhile."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        fleet = mock.Mock(processes=[mock.Mock(pid=1)])
        fleet.callers_port.return_value = listener.getsockname()[1]
        events: list[InstanceEvent] = []
        watch = InstanceWatch(fleet, events)
        fleet.processes[0] = mock.Mock(
            pid=2, is_running=True, was_stopped=was_stopped
        )
        greenlet = gevent.spawn(watch.run)
        gevent.sleep(0.1)
        greenlet.kill()
        return events

    def test_new_process_listens(self) -> None:
        """It is noted once."""
        self.assertEqual(1, len(self.watch(was_stopped=False)))

    # Guards against the finding of soak seeds 413 and 909: a SIGTERM that came
    # before the watch had noted that the process listens.
    def test_stopped_process_does_not_count_as_listening(self) -> None:
        """It still accepts connections for a while."""
        self.assertEqual([], self.watch(was_stopped=True))
