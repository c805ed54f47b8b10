"""What a model engine is believed to keep of earlier prompts."""

import collections
from collections.abc import Sequence

from lagoonbend._internal.scheduling.prompt_block import PromptBlock

DEFAULT_MEMORY_TOKENS = 200_000
"""Memory of an engine that doesn't tell its own; the least of the brief's
engines holds more."""


class PartCache:
    """Parts in order of their last use; the oldest yield first.

    :param memory_tokens: tokens that the engine's memory holds.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens or DEFAULT_MEMORY_TOKENS
        self._tokens: collections.OrderedDict[str, int]
        self._tokens = collections.OrderedDict()
        self._total = 0

    def count_new_tokens(self, prompt: Sequence[PromptBlock]) -> int:
        """Return the tokens of a prompt that must be read again.

        A part counts as kept only if all parts before it are kept.
        """
        new = 0
        is_kept = True
        for block_id in prompt:
            is_kept = is_kept and block_id.block_id in self._tokens
            if not is_kept:
                new += block_id.tokens
        return new

    def use(self, prompt: Sequence[PromptBlock], running_tokens: int) -> None:
        """Note that a prompt is read.

        :param running_tokens: memory that can't yield.
        """
        for block_id in prompt:
            if block_id.block_id in self._tokens:
                self._tokens.move_to_end(block_id.block_id)
            else:
                self._tokens[block_id.block_id] = block_id.tokens
                self._total += block_id.tokens
        room = max(0, self._memory_tokens - running_tokens)
        while self._total > room and self._tokens:
            _, tokens = self._tokens.popitem(last=False)
            self._total -= tokens

    def clear(self) -> None:
        """Forget all, for the engine has started anew."""
        self._tokens.clear()
        self._total = 0
