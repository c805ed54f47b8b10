"""The ``lagoonbend document diff`` command."""

import difflib
import pathlib

from cleo.helpers import argument
import msgspec

from lagoonbend_cli._internal.commands.base import EXIT_FAILURE
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.utils.documents import read_document


class DocumentDiffCommand(LagoonbendCommand):
    """Compares two configuration documents.

    Both are formatted with sorted keys first, so that the order of keys and
    white space make no difference.
    """

    name = 'document diff'
    description = 'Show the difference of two documents; exit 1 if any.'
    arguments = [
        argument('old', 'JSON file in force.'),
        argument('new', 'JSON file to publish.'),
    ]

    def execute_command(self) -> int:
        """Print a unified diff; return 1 if the documents differ."""
        old_name, new_name = self.argument('old'), self.argument('new')
        old_lines = _format_lines(pathlib.Path(old_name))
        new_lines = _format_lines(pathlib.Path(new_name))
        diff_lines = list(
            difflib.unified_diff(
                old_lines, new_lines, old_name, new_name, lineterm=''
            )
        )
        for line in diff_lines:
            self.line(line.replace('<', '\\<'))
        return EXIT_FAILURE if diff_lines else EXIT_OK


def _format_lines(path: pathlib.Path) -> list[str]:
    document = read_document(path)
    text = msgspec.json.encode(document, order='sorted')
    return msgspec.json.format(text).decode().splitlines()
