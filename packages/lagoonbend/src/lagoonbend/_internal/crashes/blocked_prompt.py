"""Why a prompt is not sent to any target."""

from typing import NamedTuple


class BlockedPrompt(NamedTuple):
    """A block under which targets have ended.

    :param block: identity of the block.
    :param crash_count: number of targets that have ended.
    :param left_ms: time until one call with the block is tried again.
    """

    block: str
    crash_count: int
    left_ms: int
