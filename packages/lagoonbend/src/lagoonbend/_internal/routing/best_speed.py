"""The best speeds among a set of targets."""

import math
from typing import NamedTuple

from lagoonbend._internal.routing.work_estimate import WorkEstimate

MILLISECONDS_PER_SECOND = 1000


class BestSpeed(NamedTuple):
    """The best speeds of any target in a set, not necessarily of one.

    :param tokens_per_s: prompt tokens computed per second.
    :param token_gap_ms: time between two tokens of an answer.
    """

    tokens_per_s: float
    token_gap_ms: float

    def estimate_service_ms(self, work: WorkEstimate) -> float:
        """Return the minimum time that a request takes at a target."""
        tokens = work.prompt_tokens - work.prefix_tokens
        prefill_ms = tokens * MILLISECONDS_PER_SECOND / self.tokens_per_s
        return prefill_ms + work.output_tokens * self.token_gap_ms


UNLIMITED_SPEED = BestSpeed(math.inf, 0.0)
