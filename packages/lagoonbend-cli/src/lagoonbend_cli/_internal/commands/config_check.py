"""The ``lagoonbend config check`` command."""

import pathlib

from cleo.helpers import argument

from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_entry.settings import is_gateway_file
from lagoonbend_entry.settings import read_gateway_settings
from lagoonbend_entry.settings import read_settings


class ConfigCheckCommand(LagoonbendCommand):
    """Validates settings files as an instance does when it starts."""

    name = 'config check'
    description = 'Check settings files of instances.'
    arguments = [argument('file', 'INI files.', multiple=True)]

    def execute_command(self) -> int:
        """Check each file; stop at the first one that is not valid."""
        for file_name in self.argument('file'):
            path = pathlib.Path(file_name)
            if is_gateway_file(path):
                instance_name = read_gateway_settings(path).instance.name
            else:
                instance_name = read_settings(path).instance.name
            self.line(f'{file_name}: instance {instance_name}, good')
        return EXIT_OK
