"""``python -m lagoonbend_entry.gateway``: runs an instance on a platform.

The path of the settings file is read from the environment. No command line
is parsed, so that a small instance imports few modules.
"""

import os
import pathlib
import sys

from lagoonbend.exceptions import SettingsError
from lagoonbend_entry._internal.gateway.gateway import Gateway
from lagoonbend_entry._internal.settings import gateway_settings
from lagoonbend_entry._internal.settings.settings_reader import read_sections

SETTINGS_VARIABLE = 'LAGOONBEND_SETTINGS'
EXIT_SETTINGS = 2
EXIT_LISTENER = 3


def main() -> int:
    """Run an instance; return the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        settings = read_sections(path, gateway_settings.GatewaySettings)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_SETTINGS
    try:
        Gateway.from_config(settings, path).run()
    except OSError:
        return EXIT_LISTENER
    return 0


if __name__ == '__main__':
    sys.exit(main())
