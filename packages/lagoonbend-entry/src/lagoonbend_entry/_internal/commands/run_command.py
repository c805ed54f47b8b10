"""Command ``lagoonbend-entry run``."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import option

from lagoonbend.exceptions import SettingsError
from lagoonbend_entry._internal.instance import Instance
from lagoonbend_entry._internal.settings.settings_reader import read_settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.event_log import open_event_log

EXIT_SETTINGS = 2
EXIT_LISTENER = 3


class RunCommand(Command):
    """Runs the instance until a signal drains it."""

    name = 'run'
    description = 'Run the instance until SIGTERM has drained it.'
    options = [
        option('settings', 's', 'INI file of the instance.', flag=False)
    ]

    def handle(self) -> int:
        """Run the instance; return the exit code."""
        path = self.option('settings')
        if not path:
            self.line_error('--settings FILE is missing')
            return EXIT_SETTINGS
        try:
            settings = read_settings(pathlib.Path(path))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_SETTINGS
        writer = open_event_log(settings.instance.name)
        try:
            Instance.from_config(settings).run()
        except OSError as error:
            log_event(Event.LISTENER_FAILED, reason=str(error))
            return EXIT_LISTENER
        finally:
            writer.flush()
        return 0
