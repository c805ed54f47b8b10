"""An estimate of the work of a request."""

from typing import NamedTuple


class WorkEstimate(NamedTuple):
    """The number of tokens that a request is expected to need.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: tokens of the answer.
    :param prefix: hash of the start of the prompt, 0 if there is none. An
        engine can reuse the cached computation of an equal prefix.
    :param prefix_tokens: tokens of the prefix.
    """

    prompt_tokens: int
    output_tokens: int
    prefix: int = 0
    prefix_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and of the answer."""
        return self.prompt_tokens + self.output_tokens
