"""Reads documents from files."""

import pathlib

import msgspec

from lagoonbend.configuration import DocumentEntry
from lagoonbend.configuration import parse_document
from lagoonbend.exceptions import DocumentError


def read_document(path: pathlib.Path) -> DocumentEntry:
    """Return a checked document.

    :raises DocumentError: if it can't be read or is not valid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise DocumentError(str(error.strerror), context=str(path)) from error
    parse_document(text)
    return msgspec.json.decode(text, type=DocumentEntry)
