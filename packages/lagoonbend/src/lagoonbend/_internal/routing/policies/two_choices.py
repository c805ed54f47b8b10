"""Power of two choices on reported load."""

from collections.abc import Sequence

from lagoonbend._internal.routing.policies.plain_policy import PlainPolicy
from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


@register_policy('two_choices')
class TwoChoices(PlainPolicy):
    """Draws two targets and takes the one with the lower reported load."""

    def choose(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState:
        """Return one of the candidates."""
        pair = self._rng.sample(list(candidates), min(2, len(candidates)))
        return min(
            pair,
            key=lambda state: (
                state.report.waiting_tokens if state.report else 0
            ),
        )
