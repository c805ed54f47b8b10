"""A field of a form."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple


class Field(NamedTuple):
    """One field: how it is shown and read.

    :param name: key in the document.
    :param label: what the operator reads.
    :param parse: returns the value; raises ValueError with a sentence.
    :param help: a hint under the field.
    :param is_required: True if it can't be left empty.
    :param choices: what can be chosen; empty for free text.
    :param input_type: type of the HTML input.
    """

    name: str
    label: str
    parse: Callable[[str], Any]
    help: str = ''
    is_required: bool = True
    choices: tuple[str, ...] = ()
    input_type: str = 'text'


def parse_text(text: str) -> str:
    """Return the text."""
    return text


def parse_whole(text: str) -> int:
    """Return a whole number."""
    if not (text.isascii() and text.isdecimal()):
        raise ValueError('Enter a whole number, such as 500.')
    return int(text)


def parse_rate(text: str) -> float:
    """Return a number above 0."""
    try:
        rate = float(text)
    except ValueError:
        rate = 0.0
    if not 0 < rate < float('inf'):
        raise ValueError('Enter a number above 0, such as 2.5.')
    return rate


def parse_yes(text: str) -> bool:
    """Return True for yes."""
    if text not in ('yes', 'no'):
        raise ValueError('Choose yes or no.')
    return text == 'yes'


def parse_path(text: str) -> str:
    """Return a path."""
    if not text.startswith('/'):
        raise ValueError('Enter a path that begins with /.')
    return text
