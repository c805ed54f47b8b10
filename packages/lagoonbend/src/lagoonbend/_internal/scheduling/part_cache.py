"""What a model engine is believed to keep of earlier prompts."""

import collections
from collections.abc import Sequence

from lagoonbend._internal.scheduling.prompt_part import PromptPart

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

    def count_new_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that must be read again.

        A part counts as kept only if all parts before it are kept.
        """
        new = 0
        is_kept = True
        for part in prompt:
            is_kept = is_kept and part.part in self._tokens
            if not is_kept:
                new += part.tokens
        return new

    def use(self, prompt: Sequence[PromptPart], running_tokens: int) -> None:
        """Note that a prompt is read.

        :param running_tokens: memory that can't yield.
        """
        for part in prompt:
            if part.part in self._tokens:
                self._tokens.move_to_end(part.part)
            else:
                self._tokens[part.part] = part.tokens
                self._total += part.tokens
        room = max(0, self._memory_tokens - running_tokens)
        while self._total > room and self._tokens:
            _, tokens = self._tokens.popitem(last=False)
            self._total -= tokens

    def clear(self) -> None:
        """Forget all, for the engine has started anew."""
        self._tokens.clear()
        self._total = 0
