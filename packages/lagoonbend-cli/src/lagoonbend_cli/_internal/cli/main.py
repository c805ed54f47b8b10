"""Entry point of the ``lagoonbend`` program."""

import sys

from cleo.application import Application

from lagoonbend_cli import __version__
from lagoonbend_cli._internal.commands import console_password
from lagoonbend_cli._internal.commands import document_check
from lagoonbend_cli._internal.commands import document_split
from lagoonbend_cli._internal.commands.config_check import ConfigCheckCommand
from lagoonbend_cli._internal.commands.console_run import ConsoleRunCommand
from lagoonbend_cli._internal.commands.document_diff import DocumentDiffCommand
from lagoonbend_cli._internal.commands.dump_command import DumpCommand
from lagoonbend_cli._internal.commands.explain_command import ExplainCommand
from lagoonbend_cli._internal.commands.explain_route import ExplainRouteCommand
from lagoonbend_cli._internal.commands.load_command import LoadCommand
from lagoonbend_cli._internal.commands.status_command import StatusCommand

COMMANDS = (
    console_password.ConsolePasswordCommand,
    ConsoleRunCommand,
    ConfigCheckCommand,
    document_check.DocumentCheckCommand,
    DocumentDiffCommand,
    document_split.DocumentSplitCommand,
    DumpCommand,
    ExplainCommand,
    ExplainRouteCommand,
    LoadCommand,
    StatusCommand,
)


def main() -> None:
    """Parse the command line, run the command and exit with its code."""
    application = Application('lagoonbend', __version__)
    for command_class in COMMANDS:
        application.add(command_class())
    sys.exit(application.run())
