"""The ``lagoonbend console run`` command."""

import pathlib

from cleo.helpers import argument
from cleo.helpers import option
from gevent.pywsgi import WSGIServer

from lagoonbend.clock import RuntimeClock
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.console.console_app import build_console_app
from lagoonbend_cli._internal.console.console_app import ConsoleContext
from lagoonbend_cli._internal.console.console_settings import ConsoleSettings
from lagoonbend_cli._internal.console.draft import Draft
from lagoonbend_cli._internal.network.operator_client import fetch_dump
from lagoonbend_cli._internal.utils.documents import read_document
from lagoonbend_entry.settings import read_sections


class ConsoleRunCommand(LagoonbendCommand):
    """Serves the web console until the process is stopped."""

    name = 'console run'
    description = 'Serve web forms that edit a document.'
    arguments = [argument('document', 'JSON file in force.')]
    options = [option('settings', 's', 'INI file of the console.', flag=False)]

    def execute_command(self) -> int:
        """Serve the console.

        The console never writes to the platform: operators download the
        edited document and publish it themselves.
        """
        path = pathlib.Path(self.option('settings') or 'console.ini')
        settings = read_sections(path, ConsoleSettings).console
        document = read_document(pathlib.Path(self.argument('document')))
        console = ConsoleContext(
            settings,
            RuntimeClock(),
            Draft(settings.partner, document),
            fetch_dump,
        )
        address = (settings.address, settings.port)
        self.line(f'http://{settings.address}:{settings.port}/')
        app = build_console_app(console)
        WSGIServer(address, app, log=None).serve_forever()
        return EXIT_OK
