"""What an instance knows of one target."""

from collections.abc import Iterator
from typing import Protocol

from lagoonbend._internal.models.cache_event import CacheEvent
from lagoonbend._internal.models.load_report import LoadReport
from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing.prefix_memory import PrefixMemory
from lagoonbend._internal.routing.work_estimate import WorkEstimate

INITIAL_TOKENS_PER_S = 5_000.0
INITIAL_GAP_MS = 40.0
LEAST_TOKENS_PER_S = 1.0
LEARNING_RATE = 0.2
RISING_RATE = 0.5
FALLING_RATE = 0.1
LEARNING_TOKENS = 500
MILLISECONDS_PER_SECOND = 1000
REPORT_LIFE_MS = 10_000


class RunningWork(Protocol):
    """Work at a target, as far as the target's state needs it."""

    work: WorkEstimate
    started_ms: int
    first_token_ms: int | None


class TargetState:
    """The changing part of an instance's knowledge of a target.

    :param target: what the platform lists.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.running: set[RunningWork] = set()
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self.token_gap_ms = INITIAL_GAP_MS
        self.report: LoadReport | None = None
        self.avoid_until_ms = 0
        self.prefixes = PrefixMemory()

    @property
    def outstanding(self) -> int:
        """Number of this instance's requests at the target."""
        return len(self.running)

    @property
    def outstanding_tokens(self) -> int:
        """Tokens of this instance's requests at the target."""
        return sum(item.work.tokens for item in self.running)

    def is_reported(self, now_ms: int) -> bool:
        """Return True if there is a report that is not too old."""
        if self.report is None:
            return False
        return now_ms - self.report.measured_ms < REPORT_LIFE_MS

    def learn(self, tokens: float, elapsed_ms: int) -> None:
        """Move the learned speed towards what one request has shown.

        A long prompt shows more than a short one. Work of others that this
        instance does not see makes a target look slow, so that the speed
        rises faster than it falls.
        """
        if tokens <= 0 or elapsed_ms <= 0:
            return
        seen = tokens * MILLISECONDS_PER_SECOND / elapsed_ms
        rate = RISING_RATE if seen > self.tokens_per_s else FALLING_RATE
        weight = rate * min(1.0, tokens / LEARNING_TOKENS)
        self.tokens_per_s += weight * (seen - self.tokens_per_s)
        self.tokens_per_s = max(self.tokens_per_s, LEAST_TOKENS_PER_S)

    def prefilled(self, work: WorkEstimate) -> None:
        """Note that the target has computed a prompt."""
        if work.prefix:
            self.prefixes.add(work.prefix)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Note what the target tells of its cache."""
        if event.is_cached:
            self.prefixes.add(event.prefix)
        else:
            self.prefixes.drop(event.prefix)

    def count_new_tokens(self, work: WorkEstimate) -> int:
        """Return the tokens of a prompt that are not believed cached."""
        if work.prefix and work.prefix in self.prefixes:
            return work.prompt_tokens - work.prefix_tokens
        return work.prompt_tokens

    def estimate_backlog_tokens(self, now_ms: int) -> float:
        """Return the tokens that the target has yet to compute.

        The report is late: what this instance has sent since is added, and
        what the target should have computed meanwhile is taken off.
        """
        own = sum(self._list_own_tokens(self._measured_ms))
        if self.report is None:
            return own
        age_ms = now_ms - self.report.measured_ms
        drained = self.tokens_per_s * age_ms / MILLISECONDS_PER_SECOND
        known = self.report.waiting_tokens + own
        floor = sum(self._list_own_tokens(0))
        return max(known - drained, floor)

    def learn_gap(self, gap_ms: float) -> None:
        """Move the learned time between tokens towards a seen one."""
        self.token_gap_ms += LEARNING_RATE * (gap_ms - self.token_gap_ms)

    def estimate_wait_ms(self, work: WorkEstimate, now_ms: int) -> float:
        """Return the expected time to the last token of a request."""
        backlog = self.estimate_backlog_tokens(now_ms)
        tokens = backlog + self.count_new_tokens(work)
        speed = self.estimate_speed(backlog, now_ms)
        first_ms = tokens * MILLISECONDS_PER_SECOND / speed
        return first_ms + work.output_tokens * self.token_gap_ms

    def estimate_speed(self, backlog: float, now_ms: int) -> float:
        """Return tokens a second; a request that is overdue lowers it.

        :param backlog: expected backlog in tokens.
        """
        speed = self.tokens_per_s
        for item in self.running:
            waited_ms = now_ms - item.started_ms
            if item.first_token_ms is None and waited_ms > 0:
                tokens = max(backlog, item.work.prompt_tokens)
                bound = tokens * MILLISECONDS_PER_SECOND / waited_ms
                speed = min(speed, bound)
        return max(speed, LEAST_TOKENS_PER_S)

    @property
    def _measured_ms(self) -> int:
        return self.report.measured_ms if self.report else 0

    def _list_own_tokens(self, since_ms: int) -> Iterator[int]:
        """Yield the prompts sent after ``since_ms`` and not computed yet."""
        for item in self.running:
            if item.started_ms >= since_ms and item.first_token_ms is None:
                yield item.work.prompt_tokens
