"""Each target in turn."""

from collections.abc import Sequence
import random

from lagoonbend._internal.routing.policies.plain_policy import PlainPolicy
from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


@register_policy('round_robin')
class RoundRobin(PlainPolicy):
    """Chooses the targets one after another.

    :param rng: source of random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(1_000)

    def choose(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState:
        """Return one of the candidates."""
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.target.target)
        return ordered[self._turn % len(ordered)]
