"""Base of the policies that use neither a reserve nor prefixes."""

from collections.abc import Sequence
import random

from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


class PlainPolicy:
    """A policy that lets all tiers use all targets.

    :param rng: source of random choices.
    """

    uses_reserve = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def find_cached_target(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState | None:
        """Return None: this policy ignores prefixes."""
        return None
