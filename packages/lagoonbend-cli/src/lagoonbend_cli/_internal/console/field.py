"""Fields of the console's forms and parsers of their values."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple


class Field(NamedTuple):
    """One field of a form.

    :param name: key of the value in the entry, and name of the input.
    :param label: label of the input.
    :param parse: converts the submitted text; raises ValueError with a
        message for the operator.
    :param help: hint below the input.
    :param is_required: True if the value must not be empty.
    :param choices: allowed values; empty for free text.
    :param input_type: ``type`` attribute of the HTML input.
    """

    name: str
    label: str
    parse: Callable[[str], Any]
    help: str = ''
    is_required: bool = True
    choices: tuple[str, ...] = ()
    input_type: str = 'text'


def parse_text(text: str) -> str:
    """Return the text as it is."""
    return text


def parse_whole_number(text: str) -> int:
    """Parse a whole number, 0 or above."""
    if not (text.isascii() and text.isdecimal()):
        raise ValueError('Enter a whole number, such as 500.')
    return int(text)


def parse_rate(text: str) -> float:
    """Parse a finite number above 0."""
    try:
        rate = float(text)
    except ValueError:
        rate = 0.0
    if not 0 < rate < float('inf'):
        raise ValueError('Enter a number above 0, such as 2.5.')
    return rate


def parse_yes_no(text: str) -> bool:
    """Parse ``yes`` or ``no``; return True for ``yes``."""
    if text not in ('yes', 'no'):
        raise ValueError('Choose yes or no.')
    return text == 'yes'


def parse_path(text: str) -> str:
    """Check that a path begins with a slash."""
    if not text.startswith('/'):
        raise ValueError('Enter a path that begins with /.')
    return text
