"""A part of a prompt."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A run of tokens that requests may share.

    :param part: identity of the part and of all that stands before it.
    :param tokens: length in tokens.
    """

    part: str
    tokens: int
