"""Engines that are reserved for the most urgent tier."""

from collections.abc import Sequence
import math

from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.rendezvous import score_candidate

DECAY_TIME_MS = 30_000
"""Time constant of the exponential decay of the recorded work."""
HEADROOM = 1.3
MAX_SHARE = 0.5
"""Maximum share of the total speed of the engines that is reserved."""
GAP_CLASS_RATIO = 1.5
"""Ratio of the longest to the shortest token gap in one class of speed."""


class TierReserve:
    """Chooses the engines that only the most urgent tier may use.

    Engines ignore tiers: a long prompt of a lower tier delays every request
    behind it, and load reports show it late. The reserved share of the total
    speed is the share of the most urgent tier in the recent work of this
    instance, times ``HEADROOM``, up to ``MAX_SHARE``. All instances see about
    the same share and speeds, so they choose about the same engines without
    communication.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_ms = clock.now_ms()
        self._tokens = {True: 0.0, False: 0.0}
        self.top_rank: int | None = None

    def record_arrival(self, work: WorkEstimate, rank: int) -> None:
        """Record the estimated work of a new request."""
        if self.top_rank is None or rank < self.top_rank:
            self.top_rank = rank
        now_ms = self._clock.now_ms()
        decay = math.exp((self._updated_ms - now_ms) / DECAY_TIME_MS)
        self._updated_ms = now_ms
        for is_top in self._tokens:
            self._tokens[is_top] *= decay
        self._tokens[rank == self.top_rank] += work.tokens

    @property
    def share(self) -> float:
        """Share of the most urgent tier in the recent work."""
        total = sum(self._tokens.values())
        return self._tokens[True] / total if total else 0.0

    def choose(self, states: Sequence[TargetState]) -> set[str]:
        """Return the names of the engines in the reserve."""
        if len(states) < 2 or not self._tokens[True]:
            return set()
        total = sum(state.tokens_per_s for state in states)
        missing_speed = min(self.share * HEADROOM, MAX_SHARE) * total
        reserve: set[str] = set()
        for state in sorted(states, key=_sort_key):
            if missing_speed <= 0 or len(reserve) >= len(states) // 2:
                break
            reserve.add(state.target.target)
            missing_speed -= state.tokens_per_s
        return reserve


def _sort_key(state: TargetState) -> tuple[int, int]:
    """Order engines by classes of speed, then by a hash of their name.

    Estimates of the speed differ a little between instances; the classes are
    wide enough for the instances to agree on the order all the same.
    """
    gap_class = round(math.log(max(state.token_gap_ms, 1.0), GAP_CLASS_RATIO))
    return gap_class, score_candidate('reserve', state.target.target)
