"""What an instance knows about one target."""

from collections.abc import Iterator
from typing import Protocol

from lagoonbend._internal.models.cache_event import CacheEvent
from lagoonbend._internal.models.load_report import LoadReport
from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing.cached_prefixes import CachedPrefixes
from lagoonbend._internal.routing.work_estimate import WorkEstimate

INITIAL_TOKENS_PER_S = 5_000.0
"""Prompt tokens per second that are assumed before the first observation."""
INITIAL_GAP_MS = 40.0
"""Time between two tokens of an answer that is assumed before the first
observation."""
MIN_TOKENS_PER_S = 1.0
GAP_SAMPLE_WEIGHT = 0.2
"""Weight of the newest gap in the average of the time between two tokens."""
FASTER_SAMPLE_WEIGHT = 0.5
"""Weight in the average speed of an observation that is faster than it."""
SLOWER_SAMPLE_WEIGHT = 0.1
"""The same for an observation that is slower."""
FULL_WEIGHT_TOKENS = 500
"""Tokens from which an observation of the speed has its full weight."""
MILLISECONDS_PER_SECOND = 1000
MAX_REPORT_AGE_MS = 10_000
"""Age from which a load report is no longer recent."""


class RunningWork(Protocol):
    """The attributes of an assignment that the target's state needs."""

    work: WorkEstimate
    started_ms: int
    first_token_ms: int | None


class TargetState:
    """The load, speed and cache of a target, as this instance estimates them.

    :param target: the target as the platform lists it.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.running: set[RunningWork] = set()
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self.token_gap_ms = INITIAL_GAP_MS
        self.report: LoadReport | None = None
        self.avoid_until_ms = 0
        self.prefixes = CachedPrefixes()

    @property
    def outstanding(self) -> int:
        """Number of this instance's requests at the target."""
        return len(self.running)

    @property
    def outstanding_tokens(self) -> int:
        """Tokens of this instance's requests at the target."""
        return sum(item.work.tokens for item in self.running)

    def is_reported(self, now_ms: int) -> bool:
        """Return True if there is a recent report."""
        if self.report is None:
            return False
        return now_ms - self.report.measured_ms < MAX_REPORT_AGE_MS

    def update_speed(self, tokens: float, elapsed_ms: int) -> None:
        """Update the moving average of the speed by one observation.

        A long prompt has a greater weight than a short one. Requests of
        other instances, which this one doesn't see, make a target look slow;
        so a faster observation has a greater weight than a slower one.

        :param tokens: tokens computed, including the backlog before them.
        """
        if tokens <= 0 or elapsed_ms <= 0:
            return
        observed = tokens * MILLISECONDS_PER_SECOND / elapsed_ms
        rate = (
            FASTER_SAMPLE_WEIGHT
            if observed > self.tokens_per_s
            else SLOWER_SAMPLE_WEIGHT
        )
        weight = rate * min(1.0, tokens / FULL_WEIGHT_TOKENS)
        self.tokens_per_s += weight * (observed - self.tokens_per_s)
        self.tokens_per_s = max(self.tokens_per_s, MIN_TOKENS_PER_S)

    def record_prefill(self, work: WorkEstimate) -> None:
        """Record that the target has computed a prompt."""
        if work.prefix:
            self.prefixes.add(work.prefix)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Record a change of the target's cache."""
        if event.is_cached:
            self.prefixes.add(event.prefix)
        else:
            self.prefixes.remove(event.prefix)

    def count_new_tokens(self, work: WorkEstimate) -> int:
        """Return the tokens of a prompt that are probably not cached."""
        if work.prefix and work.prefix in self.prefixes:
            return work.prompt_tokens - work.prefix_tokens
        return work.prompt_tokens

    def estimate_backlog_tokens(self, now_ms: int) -> float:
        """Return the prompt tokens that the target has yet to compute.

        The latest report is delayed: the prompts that this instance has sent
        since are added, and the tokens that the target should have computed
        since are subtracted.
        """
        own = sum(self._list_pending_prompts(self._measured_ms))
        if self.report is None:
            return own
        age_ms = now_ms - self.report.measured_ms
        drained = self.tokens_per_s * age_ms / MILLISECONDS_PER_SECOND
        known = self.report.waiting_tokens + own
        floor = sum(self._list_pending_prompts(0))
        return max(known - drained, floor)

    def update_token_gap(self, gap_ms: float) -> None:
        """Update the moving average of the time between two tokens."""
        self.token_gap_ms += GAP_SAMPLE_WEIGHT * (gap_ms - self.token_gap_ms)

    def estimate_completion_ms(self, work: WorkEstimate, now_ms: int) -> float:
        """Return the expected time to the last token of a request."""
        backlog = self.estimate_backlog_tokens(now_ms)
        tokens = backlog + self.count_new_tokens(work)
        speed = self.estimate_speed(backlog, now_ms)
        prefill_ms = tokens * MILLISECONDS_PER_SECOND / speed
        return prefill_ms + work.output_tokens * self.token_gap_ms

    def estimate_speed(self, backlog: float, now_ms: int) -> float:
        """Return prompt tokens per second.

        A request that has no first token yet bounds the speed: in the time
        that it has waited, the target has not computed the backlog or the
        prompt, whichever is larger.

        :param backlog: estimated backlog in tokens.
        """
        speed = self.tokens_per_s
        for item in self.running:
            waited_ms = now_ms - item.started_ms
            if item.first_token_ms is None and waited_ms > 0:
                tokens = max(backlog, item.work.prompt_tokens)
                bound = tokens * MILLISECONDS_PER_SECOND / waited_ms
                speed = min(speed, bound)
        return max(speed, MIN_TOKENS_PER_S)

    @property
    def _measured_ms(self) -> int:
        return self.report.measured_ms if self.report else 0

    def _list_pending_prompts(self, since_ms: int) -> Iterator[int]:
        """Yield the tokens of uncomputed prompts sent since ``since_ms``."""
        for item in self.running:
            if item.started_ms >= since_ms and item.first_token_ms is None:
                yield item.work.prompt_tokens
