"""``lagoonbend document diff``."""

import difflib
import pathlib

from cleo.helpers import argument
import msgspec

from lagoonbend_cli._internal.commands.base import EXIT_FAILURE
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.utils.documents import read_document


class DocumentDiffCommand(LagoonbendCommand):
    """Shows what a document changes."""

    name = 'document diff'
    description = 'Show the difference of two documents; exit 1 if any.'
    arguments = [
        argument('old', 'JSON file in force.'),
        argument('new', 'JSON file to publish.'),
    ]

    def execute_command(self) -> int:
        """Print a unified diff."""
        old_name, new_name = self.argument('old'), self.argument('new')
        old = _write_lines(pathlib.Path(old_name))
        new = _write_lines(pathlib.Path(new_name))
        lines = list(
            difflib.unified_diff(old, new, old_name, new_name, lineterm='')
        )
        for line in lines:
            self.line(line.replace('<', '\\<'))
        return EXIT_FAILURE if lines else EXIT_OK


def _write_lines(path: pathlib.Path) -> list[str]:
    document = read_document(path)
    text = msgspec.json.encode(document, order='sorted')
    return msgspec.json.format(text).decode().splitlines()
