"""One process of a fleet."""

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 15.0


class FleetProcess:
    """A child process that writes its output to a log file.

    ``was_stopped`` is True once it has been sent SIGTERM or SIGKILL.

    :param name: name of the process in the fleet.
    :param arguments: arguments of the Python interpreter.
    :param directory: directory of the log file.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.was_stopped = False
        self.log_path = directory / f'{name}.log'
        with self.log_path.open('ab') as log:
            self._log_start_bytes = log.tell()
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ,
            )

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self._process.poll() is None

    @property
    def has_logged(self) -> bool:
        """True once the process has written to its log file."""
        return self.log_path.stat().st_size > self._log_start_bytes

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only, if it is still running."""
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self.was_stopped = True
        if self.is_running:
            self._process.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process; return its exit code."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.wait()
