"""Least own outstanding work."""

from collections.abc import Sequence
import random

from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


@register_policy('least_outstanding')
class LeastOutstanding:
    """Chooses the target whose own outstanding work ends first.

    :param rng: breaks ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState:
        """Return the candidate with the shortest expected work."""
        return min(
            candidates,
            key=lambda state: (
                (state.outstanding_tokens + work.tokens) / state.tokens_per_s,
                self._rng.random(),
            ),
        )
