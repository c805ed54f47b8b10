"""An estimate of the work of a request."""

from typing import NamedTuple


class WorkEstimate(NamedTuple):
    """Tokens that a request is expected to cost.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: tokens to generate.
    :param prefix: hash of the start of the prompt; equal prefixes can share
        a cached computation. 0 if there is none.
    :param prefix_tokens: tokens of that start.
    """

    prompt_tokens: int
    output_tokens: int
    prefix: int = 0
    prefix_tokens: int = 0

    @property
    def tokens(self) -> int:
        """All tokens together."""
        return self.prompt_tokens + self.output_tokens
