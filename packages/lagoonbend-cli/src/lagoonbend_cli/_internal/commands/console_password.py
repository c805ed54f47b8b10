"""The ``lagoonbend console password`` command."""

import getpass

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.console.passwords import hash_password


class ConsolePasswordCommand(LagoonbendCommand):
    """Asks for a password and prints its salted hash.

    The hash is the value of ``password_hash`` in the settings of the console.
    """

    name = 'console password'
    description = "Print the hash of a password for the console's settings."

    def execute_command(self) -> int:
        """Read the password without echo; print its hash."""
        self.line(hash_password(getpass.getpass()))
        return EXIT_OK
