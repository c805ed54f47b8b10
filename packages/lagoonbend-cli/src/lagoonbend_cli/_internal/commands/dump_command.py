"""The ``lagoonbend dump`` command."""

from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.network.operator_client import fetch_dump
from lagoonbend_cli._internal.utils.tables import build_rich_console
from lagoonbend_cli._internal.utils.tables import print_dump


class DumpCommand(LagoonbendCommand):
    """Prints the state of an instance in full."""

    name = 'dump'
    description = "Print an instance's state."
    arguments = [argument('address', "ip:port of its operators' listener.")]
    options = [option('json', None, 'Print JSON.')]

    def execute_command(self) -> int:
        """Fetch the state; print it as tables or JSON."""
        dump = fetch_dump(self.argument('address'))
        if self.option('json'):
            self.line(msgspec.json.format(msgspec.json.encode(dump)).decode())
        else:
            print_dump(build_rich_console(), dump)
        return EXIT_OK
