"""Estimate of the prompt blocks that a model engine has cached."""

import collections
from collections.abc import Sequence

from lagoonbend._internal.scheduling.prompt_block import PromptBlock

DEFAULT_MEMORY_TOKENS = 200_000
"""Assumed memory of an engine whose memory isn't configured; the smallest
engine of the users' deployments holds more."""


class PromptCache:
    """Prompt blocks in least-recently-used order.

    :param memory_tokens: tokens that the engine's memory holds; 0 if unknown.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens or DEFAULT_MEMORY_TOKENS
        self._block_tokens: collections.OrderedDict[str, int]
        self._block_tokens = collections.OrderedDict()
        self._total_tokens = 0

    def has_block(self, block: PromptBlock) -> bool:
        """Return True if a block is cached."""
        return block.block_id in self._block_tokens

    def count_new_tokens(self, prompt: Sequence[PromptBlock]) -> int:
        """Return the tokens of a prompt that the engine must process again.

        A block counts as cached only if all blocks before it are cached.
        """
        new_tokens = 0
        blocks = iter(prompt)
        for block in blocks:
            if block.block_id not in self._block_tokens:
                new_tokens = block.tokens
                break
        for block in blocks:
            new_tokens += block.tokens
        return new_tokens

    def record_prompt(
        self, prompt: Sequence[PromptBlock], running_tokens: int
    ) -> None:
        """Record that the engine processes a prompt, and evict old blocks.

        :param running_tokens: memory used by running calls, which can't be
            evicted.
        """
        for block in prompt:
            if block.block_id in self._block_tokens:
                self._block_tokens.move_to_end(block.block_id)
            else:
                self._block_tokens[block.block_id] = block.tokens
                self._total_tokens += block.tokens
        available_tokens = max(0, self._memory_tokens - running_tokens)
        while self._total_tokens > available_tokens and self._block_tokens:
            _, tokens = self._block_tokens.popitem(last=False)
            self._total_tokens -= tokens

    def clear(self) -> None:
        """Discard all blocks, because the engine has restarted."""
        self._block_tokens.clear()
        self._total_tokens = 0
