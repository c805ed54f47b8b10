"""The best speeds among some targets."""

import math
from typing import NamedTuple

from lagoonbend._internal.routing.work_estimate import WorkEstimate

MILLISECONDS_PER_SECOND = 1000


class BestSpeed(NamedTuple):
    """Speeds that no target exceeds.

    :param tokens_per_s: tokens of prompts computed in a second.
    :param token_gap_ms: time between two tokens of an answer.
    """

    tokens_per_s: float
    token_gap_ms: float

    def estimate_service_ms(self, work: WorkEstimate) -> float:
        """Return the least time that a request takes."""
        tokens = work.prompt_tokens - work.prefix_tokens
        first_ms = tokens * MILLISECONDS_PER_SECOND / self.tokens_per_s
        return first_ms + work.output_tokens * self.token_gap_ms


INSTANT = BestSpeed(math.inf, 0.0)
