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


def find_read_version(
    kept_prompts: Iterable[KeptPrompts], block_id: str, tokens: int
) -> str | None:
    """Return the software version that alone has read a prompt.

    The last block of a prompt belongs to one request, or to its session with
    a length that grows from request to request. If all instances keep each
    stream at one version before its first event too, that version began it.

    :param kept_prompts: what targets of a service have told.
    :param block_id: last block of the prompt.
    :param tokens: length of the block.
    :returns: None if none has, or several.
    """
    versions = {
        kept.target.software_version
        for kept in kept_prompts
        if kept.has_read(block_id, tokens)
    }
    return versions.pop() if len(versions) == 1 else None


def weigh_kept_prompts(
    kept_prompts: Iterable[KeptPrompts],
    block_id: str,
    tokens: int,
    may_have_left: Callable[[list[ListedTarget]], bool],
) -> str | None:
    """Return the version that began a stream of which others may have read.

    Instances of earlier builds send a call that a silent target has read to
    any other version. So a reader counts only if no target of another version
    can have begun the stream, whether it is listed or has ended. An answer
    that was written completely may have reached nobody.

    :param kept_prompts: all targets of a service.
    :param block_id: last block of the prompt.
    :param tokens: length of the block.
    :param may_have_left: returns True if a target of another version than the
        given ones, or such a life of it, may have ended since a stream that
        can be taken up began.
    :returns: None if several fit, or if a target of another one has not told.
    """
    all_kept = tuple(kept_prompts)
    version = find_read_version(all_kept, block_id, tokens)
    if version is None or not all(
        kept.tokens_by_block is not None
        or kept.target.software_version == version
        for kept in all_kept
    ):
        return None
    readers = [
        kept.target for kept in all_kept if kept.has_read(block_id, tokens)
    ]
    has_lost = any(
        kept.has_ended
        and kept.target.software_version != version
        and not kept.target.started_before(readers)
        for kept in all_kept
    )
    return None if has_lost or may_have_left(readers) else version
