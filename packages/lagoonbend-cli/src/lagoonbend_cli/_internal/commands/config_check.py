"""``lagoonbend config check``."""

import pathlib

from cleo.helpers import argument

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_entry.settings import read_settings


class ConfigCheckCommand(LagoonbendCommand):
    """Checks settings files as the daemon would, without starting."""

    name = 'config check'
    description = 'Check settings files of instances.'
    arguments = [argument('file', 'INI files.', multiple=True)]

    def execute_command(self) -> int:
        """Check each file; stop at the first fault."""
        for name in self.argument('file'):
            settings = read_settings(pathlib.Path(name))
            self.line(f'{name}: instance {settings.instance.name}, good')
        return EXIT_OK
