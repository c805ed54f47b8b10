"""A part of a prompt."""

from typing import NamedTuple


class PromptBlock(NamedTuple):
    """A run of tokens that requests may share.

    :param block_id: identity of the part and of all that stands before it.
    :param tokens: length in tokens.
    """

    block_id: str
    tokens: int
