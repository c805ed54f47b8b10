"""The targets that an instance may use."""

from collections.abc import Iterable
from collections.abc import Iterator
import random

from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing import least_outstanding  # noqa: F401
from lagoonbend._internal.routing.policy import POLICIES
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate
from lagoonbend._internal.utils.clock import Clock


class TargetTable:
    """Targets with what this instance knows of them.

    :param clock: clock of this instance.
    :param policy: name of the registered policy.
    :param rng: source of random choices.
    :param outstanding_limit: greatest number of requests that this instance
        keeps at one target.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        policy: str,
        rng: random.Random,
        outstanding_limit: int,
    ) -> None:
        self._clock = clock
        self._policy = POLICIES[policy](rng)
        self._outstanding_limit = outstanding_limit
        self._states: dict[str, TargetState] = {}

    def __iter__(self) -> Iterator[TargetState]:
        return iter(self._states.values())

    def apply(self, targets: Iterable[Target]) -> None:
        """Take over the listed targets; keep what is known of them."""
        listed = {target.target: target for target in targets}
        for name in set(self._states) - set(listed):
            del self._states[name]
        for name, target in listed.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = TargetState(target)
            else:
                state.target = target

    def serves(self, kind: str, model: str) -> bool:
        """Return True if some target that stays can serve the request."""
        return any(
            not state.target.leaving and _matches(state, kind, model)
            for state in self
        )

    def has_room(self, kind: str, model: str) -> bool:
        """Return True if a target can take a request now."""
        return bool(self._find(kind, model))

    def choose(
        self, kind: str, model: str, work: WorkEstimate
    ) -> TargetState | None:
        """Return a target with room; None if there is none."""
        candidates = self._find(kind, model)
        if not candidates:
            return None
        now_ms = self._clock.now_ms()
        return self._policy.choose(candidates, work, now_ms)

    def _find(self, kind: str, model: str) -> list[TargetState]:
        now_ms = self._clock.now_ms()
        return [
            state
            for state in self
            if not state.target.leaving
            and state.outstanding < self._outstanding_limit
            and state.avoid_until_ms <= now_ms
            and _matches(state, kind, model)
        ]


def _matches(state: TargetState, kind: str, model: str) -> bool:
    target = state.target
    if target.kind != kind:
        return False
    return kind == 'service' or model in target.models
