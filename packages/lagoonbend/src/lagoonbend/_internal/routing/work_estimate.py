"""An estimate of the work of a request."""

from typing import NamedTuple

BYTES_PER_TOKEN = 4


class WorkEstimate(NamedTuple):
    """Tokens that a request is expected to cost.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: tokens to generate.
    :param prefix: hash of the start of the prompt; equal prefixes can share
        a cached computation.
    """

    prompt_tokens: int
    output_tokens: int
    prefix: int = 0

    @property
    def tokens(self) -> int:
        """All tokens together."""
        return self.prompt_tokens + self.output_tokens
