"""What an engine says of the prompts that it keeps."""

from typing import NamedTuple


class KeptBlocks(NamedTuple):
    """What a life of an engine keeps.

    :param tokens_by_block: tokens that it keeps of each block.
    :param born_ms: start of this life, in Unix milliseconds as the engine
        counts them; None if it isn't stated.
    """

    tokens_by_block: dict[str, int]
    born_ms: int | None = None
