"""What targets keep of the prompts that they have read."""

from collections.abc import Callable
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
    :param has_ended: True if the target has ended, with its memory.
    """

    target: ListedTarget
    tokens_by_block: Mapping[str, int] | None
    has_ended: bool = False

    def count_tokens(self, block_id: str) -> int:
        """Return the tokens that the target keeps of a block."""
        return (self.tokens_by_block or {}).get(block_id, 0)

    def has_read(self, block_id: str, tokens: int) -> bool:
        """Return True if the target has read a block to its end."""
        kept_tokens = self.count_tokens(block_id)
        return kept_tokens > max(0, tokens - MAX_UNKEPT_TOKENS)

    def has_written(self, block_id: str, tokens: int) -> bool:
        """Return True if the target has completed an answer to the block."""
        return self.count_tokens(block_id) > tokens


class PromptEvidence(NamedTuple):
    """What the targets of a service show of a stream.

    :param version: version that began it; None if that isn't certain.
    :param has_written: True if a target of it keeps more than the prompt.
    """

    version: str | None
    has_written: bool = False


UNCERTAIN = PromptEvidence(None)


def weigh_kept_prompts(
    kept_prompts: Iterable[KeptPrompts],
    block_id: str,
    tokens: int,
    may_have_left: Callable[[list[ListedTarget]], bool],
) -> PromptEvidence:
    """Return the software version that began a stream, by its prompt.

    The last block of a prompt belongs to one request, or to its session with
    a length that grows from request to request. A target that keeps more than
    that has completed an answer. One that keeps the prompt alone need not have
    written anything: it may have been silent until the call went to another
    version, so that it counts only if no target of one can have ended. Neither
    counts beside a reader of another version, whose stream may have been cut.

    :param kept_prompts: all targets of a service.
    :param block_id: last block of the prompt.
    :param tokens: length of the block.
    :param may_have_left: returns True if a target of another version than the
        given ones, or such a life of it, may have ended since a stream that
        can be taken up began.
    :returns: no version if several fit, or if a target of another one has not
        told.
    """
    all_kept = tuple(kept_prompts)
    readers = [
        kept.target for kept in all_kept if kept.has_read(block_id, tokens)
    ]
    versions = {reader.software_version for reader in readers}
    version = next(iter(versions)) if len(versions) == 1 else None
    if version is None or not all(
        kept.tokens_by_block is not None
        or kept.target.software_version == version
        for kept in all_kept
    ):
        return UNCERTAIN
    has_lost = any(
        kept.has_ended
        and kept.target.software_version != version
        and not kept.target.started_before(readers)
        for kept in all_kept
    )
    has_written = any(kept.has_written(block_id, tokens) for kept in all_kept)
    if not has_written and (has_lost or may_have_left(readers)):
        return UNCERTAIN
    return PromptEvidence(version, has_written=has_written)
