"""A block of a prompt."""

from typing import NamedTuple


class PromptBlock(NamedTuple):
    """A sequence of tokens that several requests may have in common.

    :param block_id: identity of the block and of all blocks before it.
    :param tokens: length in tokens.
    """

    block_id: str
    tokens: int
