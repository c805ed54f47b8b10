"""The targets that an instance may use."""

from collections.abc import Iterable
from collections.abc import Iterator
import random

from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.best_speed import BestSpeed
from lagoonbend._internal.routing.best_speed import INSTANT
from lagoonbend._internal.routing.policies import expected_time  # noqa: F401
from lagoonbend._internal.routing.policies import least_reported  # noqa: F401
from lagoonbend._internal.routing.policies import round_robin  # noqa: F401
from lagoonbend._internal.routing.policies import two_choices  # noqa: F401
from lagoonbend._internal.routing.policy import POLICIES
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.tier_reserve import TierReserve
from lagoonbend._internal.routing.unplaced import Unplaced
from lagoonbend._internal.routing.work_estimate import WorkEstimate
from lagoonbend._internal.utils.clock import Clock

MILLISECONDS_PER_SECOND = 1000


class TargetTable:
    """Targets with what this instance knows of them.

    :param clock: clock of this instance.
    :param policy: name of the registered policy.
    :param rng: source of random choices.
    :param outstanding_limit: greatest number of requests that this instance
        keeps at one target.
    :param backlog_limit_ms: greatest expected time to the first token at a
        target that gets a request of the most urgent tier; lower tiers get
        a part of it, so that little work waits where nobody knows tiers.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        policy: str,
        rng: random.Random,
        outstanding_limit: int,
        backlog_limit_ms: int,
    ) -> None:
        self._clock = clock
        self._policy = POLICIES[policy](rng)
        self._outstanding_limit = outstanding_limit
        self._backlog_limit_ms = backlog_limit_ms
        self._reserve = TierReserve(clock)
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
            not state.target.leaving and matches(state, kind, model)
            for state in self
        )

    def record_arrival(self, work: WorkEstimate, rank: int) -> None:
        """Note the work of an arrived request."""
        self._reserve.note(work, rank)

    def find_best_speed(self, kind: str, model: str) -> BestSpeed:
        """Return the best learned speeds of the targets for a request."""
        states = [s for s in self if matches(s, kind, model)]
        if kind == 'service' or not states:
            return INSTANT
        return BestSpeed(
            max(state.tokens_per_s for state in states),
            min(state.token_gap_ms for state in states),
        )

    def assign(
        self,
        kind: str,
        model: str,
        work: WorkEstimate,
        rank: int,
        *,
        can_wait: bool = False,
    ) -> Assignment | Unplaced:
        """Assign a request to a target with room.

        :param can_wait: True if the request may wait for the target that
            is worth it, even if another one has room.
        :returns: the assignment, or why there is none.
        """
        now_ms = self._clock.now_ms()
        usable = self._find_usable(kind, model, rank)
        candidates = self._find_open(usable, rank)
        if not candidates:
            return Unplaced.NO_ROOM
        if can_wait and rank != self._reserve.top_rank:
            home = self._policy.find_home(usable, work, now_ms)
            if home is not None and home not in candidates:
                return Unplaced.WAITS_FOR_HOME
        state = self._policy.choose(candidates, work, now_ms)
        backlog = state.estimate_backlog_tokens(now_ms)
        assignment = Assignment(state, work, now_ms, backlog)
        state.running.add(assignment)
        return assignment

    def end(self, assignment: Assignment) -> None:
        """Count an assigned request as over."""
        assignment.state.running.discard(assignment)

    def _find_usable(
        self, kind: str, model: str, rank: int
    ) -> list[TargetState]:
        """Return the targets that a request may use, with room or not."""
        now_ms = self._clock.now_ms()
        states = [
            state
            for state in self
            if matches(state, kind, model)
            and not state.target.leaving
            and state.avoid_until_ms <= now_ms
        ]
        if kind == 'service' or not self._policy.uses_reserve:
            return states
        if rank == self._reserve.top_rank:
            return states
        reserved = self._reserve.choose(states)
        return [s for s in states if s.target.target not in reserved]

    def _find_open(
        self, states: list[TargetState], rank: int
    ) -> list[TargetState]:
        """Return the targets with room, the best of them alone.

        A target whose load nobody reports looks idle, and is taken only if
        no reported one has room; so are targets outside the reserve.
        """
        now_ms = self._clock.now_ms()
        is_open = [s for s in states if self._has_room(s, rank, now_ms)]
        is_open = [s for s in is_open if s.is_reported(now_ms)] or is_open
        if rank != self._reserve.top_rank or not self._policy.uses_reserve:
            return is_open
        reserved = self._reserve.choose(states)
        first = [s for s in is_open if s.target.target in reserved]
        return first or is_open

    def _has_room(self, state: TargetState, rank: int, now_ms: int) -> bool:
        if state.outstanding >= self._outstanding_limit:
            return False
        if state.target.kind == 'service' or not state.running:
            return True
        backlog = state.estimate_backlog_tokens(now_ms)
        speed = state.estimate_speed(backlog, now_ms)
        backlog_ms = backlog * MILLISECONDS_PER_SECOND / speed
        return backlog_ms < self._backlog_limit_ms / (1 + rank)


def matches(state: TargetState, kind: str, model: str) -> bool:
    """Return True if a target can serve a kind of request and a model."""
    target = state.target
    if target.kind != kind:
        return False
    return kind == 'service' or model in target.models
