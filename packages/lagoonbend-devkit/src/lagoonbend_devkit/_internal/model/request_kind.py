"""A kind of request in a workload."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """Requests of one tier; their sizes are drawn at random.

    :param name: name of the tier.
    :param rank: rank of the tier; 0 is the most urgent.
    :param share: share of all requests.
    :param deadline_ms: time in which the answer must be complete.
    :param prompt_tokens: minimum and maximum length of a prompt.
    :param output_tokens: minimum and maximum length of an answer.
    :param prefix_tokens: length of the prefix that prompts share.
    :param prefix_count: number of different prefixes.
    :param idempotent: False if a running request can't be cancelled.
    """

    name: str
    rank: int
    share: float
    deadline_ms: int
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    prefix_tokens: int
    prefix_count: int
    idempotent: bool

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of a request if three of four prefixes are cached."""
        prompt = sum(self.prompt_tokens) / 2
        output = sum(self.output_tokens) / 2
        return prompt - 0.75 * self.prefix_tokens + output
