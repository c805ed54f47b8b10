"""What targets keep of the prompts that they have read."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget

MAX_UNKEPT_TOKENS = 32
"""Tokens by which a target may keep less of a block than it has read. Engines
keep blocks in multiples of 16 tokens."""


class KeptPrompts(NamedTuple):
    """The blocks of prompts that a target keeps in its memory.

    :param target: the target.
    :param tokens_by_block: tokens that it keeps of each block; None if it
        has not told.
    """

    target: ListedTarget
    tokens_by_block: Mapping[str, int] | None

    def count_tokens(self, block_id: str) -> int:
        """Return the tokens that the target keeps of a block."""
        return (self.tokens_by_block or {}).get(block_id, 0)

    def has_read(self, block_id: str, tokens: int) -> bool:
        """Return True if the target has read a block to its end."""
        kept_tokens = self.count_tokens(block_id)
        return kept_tokens > max(0, tokens - MAX_UNKEPT_TOKENS)


def find_reading_version(
    kept_prompts: Iterable[KeptPrompts], block_id: str, tokens: int
) -> str | None:
    """Return the only software version whose targets have read a block.

    The last block of a prompt belongs to one request, or to its session with
    a length that grows from request to request. A target that has read it has
    run the request.

    :param kept_prompts: all targets of a service.
    :param tokens: length of the block.
    :returns: None if there is no such version, if there are several, or if a
        target of another version has not told.
    """
    all_kept = tuple(kept_prompts)
    versions = {
        kept.target.software_version
        for kept in all_kept
        if kept.has_read(block_id, tokens)
    }
    if len(versions) != 1:
        return None
    version = versions.pop()
    is_certain = all(
        kept.tokens_by_block is not None
        or kept.target.software_version == version
        for kept in all_kept
    )
    return version if is_certain else None
