"""``lagoonbend console password``."""

import getpass

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.console.passwords import hash_password


class ConsolePasswordCommand(LagoonbendCommand):
    """Asks for a password and prints its hash for the settings."""

    name = 'console password'
    description = "Print the hash of a password for the console's settings."

    def execute_command(self) -> int:
        """Ask without echo; print the hash."""
        self.line(hash_password(getpass.getpass()))
        return EXIT_OK
