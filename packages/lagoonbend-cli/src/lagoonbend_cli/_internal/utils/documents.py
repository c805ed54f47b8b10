"""Reading of configuration documents from files."""

import pathlib

import msgspec

from lagoonbend.configuration import DocumentEntry
from lagoonbend.configuration import parse_document
from lagoonbend.exceptions import DocumentError


def read_document(path: pathlib.Path) -> DocumentEntry:
    """Read and validate a configuration document.

    :raises DocumentError: if the file can't be read or is not valid.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise DocumentError(str(error.strerror), context=str(path)) from error
    parse_document(body)
    return msgspec.json.decode(body, type=DocumentEntry)
