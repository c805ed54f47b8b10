"""The ``lagoonbend document split`` command."""

import hashlib
import pathlib

from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from lagoonbend.configuration import split_customers
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.utils.documents import read_document

DEFAULT_DIGITS = '2'


class DocumentSplitCommand(LagoonbendCommand):
    """Moves the customers of a document into shards.

    A shard is a file of its own with the customers whose key digests begin
    with the same hex digits. The document keeps the SHA-256 of each shard.
    """

    name = 'document split'
    description = 'Write a document and the shards of its customers.'
    arguments = [
        argument('file', 'JSON file.'),
        argument('directory', 'Where the shards and the document go.'),
    ]
    options = [
        option(
            'digits',
            None,
            'Hex digits that name a shard.',
            flag=False,
            default=DEFAULT_DIGITS,
        )
    ]

    def execute_command(self) -> int:
        """Write all files; print their names in the order to publish them.

        The shards come before the document that refers to them.
        """
        document = read_document(pathlib.Path(self.argument('file')))
        directory = pathlib.Path(self.argument('directory'))
        directory.mkdir(parents=True, exist_ok=True)
        for part in document['parts'].values():
            shards = split_customers(
                part['customers'], int(self.option('digits'))
            )
            part['customers'] = []
            part['shards'] = {}
            for shard_name, shard_body in shards.items():
                part['shards'][shard_name] = hashlib.sha256(
                    shard_body
                ).hexdigest()
                self._write_file(
                    directory / f'customers-{shard_name}', shard_body
                )
        document_body = msgspec.json.format(msgspec.json.encode(document))
        self._write_file(directory / 'document', document_body)
        return EXIT_OK

    def _write_file(self, path: pathlib.Path, body: bytes) -> None:
        path.write_bytes(body)
        self.line(str(path))
