"""The ``lagoonbend document check`` command."""

import pathlib

from cleo.helpers import argument

from lagoonbend.configuration import parse_document
from lagoonbend.exceptions import DocumentError
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand


class DocumentCheckCommand(LagoonbendCommand):
    """Validates a configuration document as the instances do."""

    name = 'document check'
    description = 'Check a configuration document before its publication.'
    arguments = [argument('file', 'JSON file.')]

    def execute_command(self) -> int:
        """Check the file; print revision and digest of each document part."""
        path = pathlib.Path(self.argument('file'))
        try:
            parts = parse_document(path.read_bytes())
        except OSError as error:
            raise DocumentError(
                str(error.strerror), context=str(path)
            ) from error
        for partner, part in sorted(parts.items()):
            self.line(
                f'{partner}: revision {part.revision}, digest {part.digest}'
            )
        return EXIT_OK
