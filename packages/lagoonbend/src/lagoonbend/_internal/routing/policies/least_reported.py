"""Least reported load."""

from collections.abc import Sequence

from lagoonbend._internal.routing.policies.plain_policy import PlainPolicy
from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


@register_policy('least_reported')
class LeastReported(PlainPolicy):
    """Chooses the target whose latest report shows the least work."""

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
