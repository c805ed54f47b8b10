"""The targets that an instance may assign requests to.

The modules of the policies are imported only to register the policies.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import random

from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.best_speed import BestSpeed
from lagoonbend._internal.routing.best_speed import UNLIMITED_SPEED
from lagoonbend._internal.routing.policies import expected_time  # noqa: F401
from lagoonbend._internal.routing.policies import least_reported  # noqa: F401
from lagoonbend._internal.routing.policies import round_robin  # noqa: F401
from lagoonbend._internal.routing.policies import two_choices  # noqa: F401
from lagoonbend._internal.routing.policy import POLICIES
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.tier_reserve import TierReserve
from lagoonbend._internal.routing.wait_reason import WaitReason
from lagoonbend._internal.routing.work_estimate import WorkEstimate
from lagoonbend._internal.utils.clock import Clock

MILLISECONDS_PER_SECOND = 1000


class TargetTable:
    """The listed targets, each with its state.

    :param clock: clock of this instance.
    :param policy: name of the registered policy.
    :param rng: source of random choices.
    :param outstanding_limit: maximum number of requests that this instance
        keeps at one target.
    :param backlog_limit_ms: a target whose backlog takes at least this time
        gets no request of the most urgent tier. The limit of lower tiers is
        a fraction of it, as engines ignore tiers: little work should wait
        there.
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
        """Replace the list of targets; keep the state of those that stay."""
        listed = {target.target: target for target in targets}
        for name in set(self._states) - set(listed):
            del self._states[name]
        for name, target in listed.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = TargetState(target)
            else:
                state.target = target

    def can_serve(self, kind: str, model: str) -> bool:
        """Return True if a target that isn't leaving can serve the request."""
        return any(
            not state.target.leaving and matches(state, kind, model)
            for state in self
        )

    def record_arrival(self, work: WorkEstimate, rank: int) -> None:
        """Record the estimated work of a new request."""
        self._reserve.record_arrival(work, rank)

    def find_best_speed(self, kind: str, model: str) -> BestSpeed:
        """Return the best estimated speeds of the targets for a request."""
        states = [s for s in self if matches(s, kind, model)]
        if kind == 'service' or not states:
            return UNLIMITED_SPEED
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
    ) -> Assignment | WaitReason:
        """Assign a request to a target with room.

        :param can_wait: True if the request may wait for the target that has
            its prefix cached although another target has room.
        :returns: the assignment, or why the request has to wait.
        """
        now_ms = self._clock.now_ms()
        usable = self._find_usable(kind, model, rank)
        candidates = self._find_with_room(usable, rank)
        if not candidates:
            return WaitReason.NO_ROOM
        if can_wait and rank != self._reserve.top_rank:
            cached_target = self._policy.find_cached_target(
                usable, work, now_ms
            )
            if cached_target is not None and cached_target not in candidates:
                return WaitReason.WAITS_FOR_CACHED_TARGET
        state = self._policy.choose(candidates, work, now_ms)
        backlog = state.estimate_backlog_tokens(now_ms)
        assignment = Assignment(state, work, now_ms, backlog)
        state.running.add(assignment)
        return assignment

    def end(self, assignment: Assignment) -> None:
        """Stop counting an assigned request as running."""
        assignment.state.running.discard(assignment)

    def _find_usable(
        self, kind: str, model: str, rank: int
    ) -> list[TargetState]:
        """Return the targets that a request may use, full ones included."""
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

    def _find_with_room(
        self, states: list[TargetState], rank: int
    ) -> list[TargetState]:
        """Return the preferred targets among those with room.

        A target without a recent load report looks idle, so it is used only
        if no target with a report has room. The most urgent tier uses targets
        outside its reserve only if no reserved one has room.
        """
        now_ms = self._clock.now_ms()
        with_room = [s for s in states if self._has_room(s, rank, now_ms)]
        with_room = [
            s for s in with_room if s.is_reported(now_ms)
        ] or with_room
        if rank != self._reserve.top_rank or not self._policy.uses_reserve:
            return with_room
        reserved = self._reserve.choose(states)
        reserved_first = [s for s in with_room if s.target.target in reserved]
        return reserved_first or with_room

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
