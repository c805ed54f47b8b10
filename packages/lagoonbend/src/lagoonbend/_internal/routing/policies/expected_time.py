"""Least expected time, with prefix affinity."""

from collections.abc import Sequence
import random

from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate

MILLISECONDS_PER_SECOND = 1000


@register_policy('expected_time')
class ExpectedTime:
    """Chooses the target that is expected to finish the answer first.

    A target that has the prefix cached need not compute it. A target whose
    cache is full would evict a prefix that another request may need, which
    counts as one more computation.

    :param rng: source of random choices.
    """

    uses_reserve = True

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState:
        """Return one of the candidates."""
        return min(
            candidates,
            key=lambda state: (
                estimate_cost_ms(state, work, now_ms),
                self._rng.random(),
            ),
        )

    def find_cached_target(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState | None:
        """Return the best target that has the prefix cached, if any."""
        holders = [s for s in candidates if work.prefix in s.prefixes]
        if not work.prefix or not holders:
            return None
        return self.choose(holders, work, now_ms)


def estimate_cost_ms(
    state: TargetState, work: WorkEstimate, now_ms: int
) -> float:
    """Return the expected time of an answer plus the cost of an eviction."""
    cost_ms = state.estimate_completion_ms(work, now_ms)
    if work.prefix not in state.prefixes and state.prefixes.is_full:
        tokens = work.prefix_tokens
        cost_ms += tokens * MILLISECONDS_PER_SECOND / state.tokens_per_s
    return cost_ms
