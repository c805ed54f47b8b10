"""Base class and exit codes of all commands."""

from cleo.commands.command import Command

from lagoonbend.exceptions import ConfigurationError
from lagoonbend.exceptions import LagoonbendError

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_CONFIGURATION = 2


class LagoonbendCommand(Command):
    """Base of the commands.

    Reports an expected error as one line on standard error and an exit code,
    without a traceback.
    """

    def handle(self) -> int:
        """Run the command; map its errors to an exit code."""
        try:
            return self.execute_command()
        except ConfigurationError as error:
            self.line_error(str(error))
            return EXIT_CONFIGURATION
        except LagoonbendError as error:
            self.line_error(str(error))
            return EXIT_FAILURE

    def execute_command(self) -> int:
        """Run the command; return the exit code.

        :raises LagoonbendError: if the command fails.
        """
        raise NotImplementedError
