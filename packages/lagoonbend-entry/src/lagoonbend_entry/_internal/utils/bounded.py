"""Decodes JSON that any writer may have written."""

import re
from typing import Any
from typing import TypeVar

import msgspec

from lagoonbend.exceptions import DocumentError

MAX_INTEGER = 2**53 - 1
"""Largest integer that all writers of JSON can express. Larger ones can't be
passed on to peers, or be computed with as fractions."""
MAX_DIGITS = 15
"""Digits of a number that is below ``MAX_INTEGER`` in any case."""
MAX_RATE = 1e30
"""Largest rate that is passed on to peers; a larger one means the same."""

DECIMAL_PATTERN = re.compile(r'\d+\.?\d*|\.\d+', re.ASCII)

Decoded = TypeVar('Decoded')


def decode_json(
    content: bytes, cls: type[Decoded], *, context: str
) -> Decoded:
    """Return what a JSON text says.

    :param cls: type to decode to.
    :param context: name of the text, for the error.
    :raises DocumentError: if it isn't of the type, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(content, type=cls)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise DocumentError(
            f'cannot be decoded: {error}', context=context
        ) from error


def check_integer(value: int, minimum: int, maximum: int, name: str) -> int:
    """Return an integer that is within its range.

    :raises ValueError: if it isn't.
    """
    if not minimum <= value <= maximum:
        raise ValueError(f'{name} is not from {minimum} to {maximum}')
    return value


def read_text(value: Any) -> str:
    """Return a text.

    :raises TypeError: if the value is none.
    """
    if not isinstance(value, str):
        raise TypeError(f'{type(value).__name__} in place of a text')
    return value


def read_integer(value: Any, minimum: int = 0) -> int:
    """Return a number as an integer within its range; None counts as 0.

    :raises ValueError: if it is out of range, or a text that is no number.
    """
    return check_integer(int(value or 0), minimum, MAX_INTEGER, 'a number')


def read_fraction(value: Any) -> float:
    """Return a number that is not negative; None counts as 0.

    :raises ValueError: if it is out of range, or a text that is no number.
    """
    number = float(value or 0)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f'a number is not from 0 to {MAX_INTEGER}')
    return number


def read_optional(value: Any, minimum: int, maximum: int) -> int | None:
    """Return an integer, or None if the value is none within the range."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return value if is_integer and minimum <= value <= maximum else None


def check_optional(value: Any, name: str) -> int | None:
    """Return an integer that is not negative; None if the value is none.

    :raises ValueError: if it is an integer that is out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return check_integer(value, 0, MAX_INTEGER, name)


def read_counts(text: str, least: int, most: int) -> tuple[int, ...]:
    """Return whole numbers that are separated by commas.

    :returns: empty if one can't be read, or they are fewer than ``least`` or
        more than ``most``.
    """
    counts = [read_digits(part) for part in text.split(',', most)]
    known = tuple(count for count in counts if count is not None)
    is_whole = len(known) == len(counts) and least <= len(known) <= most
    return known if is_whole else ()


def read_digits(text: str) -> int | None:
    """Return a whole number; None if the text is none, or has many digits."""
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal()
    return int(digits) if is_number and len(digits) <= MAX_DIGITS else None


def read_decimal(text: str) -> float | None:
    """Return a number without sign and exponent; None if the text is none.

    One above the largest rate counts as that.
    """
    digits = text.strip()
    if not DECIMAL_PATTERN.fullmatch(digits):
        return None
    return min(float(digits), MAX_RATE)
