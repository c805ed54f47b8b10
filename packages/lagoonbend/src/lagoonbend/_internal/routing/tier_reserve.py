"""Engines that are kept free of lower tiers."""

from collections.abc import Sequence
import math

from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.rendezvous import score_candidate

MEMORY_MS = 30_000
HEADROOM = 1.3
GREATEST_SHARE = 0.5
GAP_STEP = 1.5


class TierReserve:
    """Chooses the engines that only the most urgent tier may use.

    Engines know no tiers: a long prompt of a lower tier delays every
    request behind it, and reports of it come late. The reserve is as large
    as the share of the urgent tier in the work that this instance sees,
    with headroom. All instances see about the same share and speeds, and so
    choose about the same engines without a word.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted_ms = clock.now_ms()
        self._tokens = {True: 0.0, False: 0.0}
        self.top_rank: int | None = None

    def note(self, work: WorkEstimate, rank: int) -> None:
        """Note an arrived request."""
        if self.top_rank is None or rank < self.top_rank:
            self.top_rank = rank
        now_ms = self._clock.now_ms()
        decay = math.exp((self._noted_ms - now_ms) / MEMORY_MS)
        self._noted_ms = now_ms
        for is_top in self._tokens:
            self._tokens[is_top] *= decay
        self._tokens[rank == self.top_rank] += work.tokens

    @property
    def share(self) -> float:
        """Share of the urgent tier in the recent work."""
        total = sum(self._tokens.values())
        return self._tokens[True] / total if total else 0.0

    def choose(self, states: Sequence[TargetState]) -> set[str]:
        """Return the names of the engines in the reserve."""
        if len(states) < 2 or not self._tokens[True]:
            return set()
        total = sum(state.tokens_per_s for state in states)
        wanted = min(self.share * HEADROOM, GREATEST_SHARE) * total
        reserve: set[str] = set()
        for state in sorted(states, key=_rank_engine):
            if wanted <= 0 or len(reserve) >= len(states) // 2:
                break
            reserve.add(state.target.target)
            wanted -= state.tokens_per_s
        return reserve


def _rank_engine(state: TargetState) -> tuple[int, int]:
    """Fast engines first; instances agree in spite of small differences."""
    gap_class = round(math.log(max(state.token_gap_ms, 1.0), GAP_STEP))
    return gap_class, score_candidate('reserve', state.target.target)
