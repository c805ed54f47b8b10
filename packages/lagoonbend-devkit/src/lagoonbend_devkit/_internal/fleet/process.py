"""One process of the fleet."""

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 15.0


class FleetProcess:
    """A child process with its log file.

    :param name: name in the fleet.
    :param arguments: arguments of the Python interpreter.
    :param directory: where its log goes.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.log_path = directory / f'{name}.log'
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ,
            )

    @property
    def pid(self) -> int:
        """Number of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.is_running:
            self._process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end; return the exit code."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.wait()
