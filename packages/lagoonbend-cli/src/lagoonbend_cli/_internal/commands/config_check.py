"""``lagoonbend config check``."""

import pathlib

from cleo.helpers import argument

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_entry.settings import is_gateway_file
from lagoonbend_entry.settings import read_gateway_settings
from lagoonbend_entry.settings import read_settings


class ConfigCheckCommand(LagoonbendCommand):
    """Checks settings files as the daemon would, without starting."""

    name = 'config check'
    description = 'Check settings files of instances.'
    arguments = [argument('file', 'INI files.', multiple=True)]

    def execute_command(self) -> int:
        """Check each file; stop at the first fault."""
        for name in self.argument('file'):
            path = pathlib.Path(name)
            if is_gateway_file(path):
                instance = read_gateway_settings(path).instance.name
            else:
                instance = read_settings(path).instance.name
            self.line(f'{name}: instance {instance}, good')
        return EXIT_OK
