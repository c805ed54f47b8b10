"""Entry point of ``lagoonbend-entry``."""

import sys

from cleo.application import Application

from lagoonbend_entry import __version__
from lagoonbend_entry._internal.commands.run_command import RunCommand


def main() -> None:
    """Parse the command line and run a command."""
    application = Application('lagoonbend-entry', __version__)
    application.add(RunCommand())
    sys.exit(application.run())
