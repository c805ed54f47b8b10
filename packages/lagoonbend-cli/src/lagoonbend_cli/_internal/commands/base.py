"""What all commands share."""

from cleo.commands.command import Command

from lagoonbend.exceptions import ConfigurationError
from lagoonbend.exceptions import LagoonbendError

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_CONFIGURATION = 2


class LagoonbendCommand(Command):
    """A command whose errors are one line and an exit code."""

    def handle(self) -> int:
        """Run; return the exit code."""
        try:
            return self.execute_command()
        except ConfigurationError as error:
            self.line_error(str(error))
            return EXIT_CONFIGURATION
        except LagoonbendError as error:
            self.line_error(str(error))
            return EXIT_FAILURE

    def execute_command(self) -> int:
        """Do the command's work; return the exit code."""
        raise NotImplementedError
