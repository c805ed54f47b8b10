"""Least reported load."""

from collections.abc import Sequence
import random

from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


@register_policy('least_reported')
class LeastReported:
    """Chooses the target whose latest report shows the least work.

    :param rng: source of random choices.
    """

    uses_reserve = False

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
                state.report.waiting_tokens if state.report else 0,
                self._rng.random(),
            ),
        )

    def find_home(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState | None:
        """Return None: prefixes are not looked at."""
        return None
