"""The ``lagoonbend status`` command."""

from cleo.helpers import argument

from lagoonbend.exceptions import NetworkError
from lagoonbend_cli._internal.commands.base import EXIT_FAILURE
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.network.operator_client import fetch_dump
from lagoonbend_cli._internal.utils.tables import build_rich_console
from lagoonbend_cli._internal.utils.tables import build_status_row
from lagoonbend_cli._internal.utils.tables import print_status


class StatusCommand(LagoonbendCommand):
    """Prints a one-line summary of each instance."""

    name = 'status'
    description = 'Print a line for each instance.'
    arguments = [
        argument(
            'address', "ip:port of their operators' listeners.", multiple=True
        )
    ]

    def execute_command(self) -> int:
        """Print the summaries; return 1 if an instance did not answer."""
        rows = []
        failures = []
        for address in self.argument('address'):
            try:
                rows.append(build_status_row(fetch_dump(address)))
            except NetworkError as error:
                failures.append(str(error))
        print_status(build_rich_console(), rows)
        for failure in failures:
            self.line_error(failure)
        return EXIT_FAILURE if failures else EXIT_OK
