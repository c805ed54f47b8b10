"""Simulates the continuous batching of a model engine, step by step."""

import collections
from collections.abc import Callable


class EngineSpeed:
    """Speed and cache size of an engine.

    :param step_ms: duration of one step.
    :param step_tokens: tokens computed in one step, of prompts and outputs.
    :param max_cached_prefixes: number of prompt prefixes that the cache holds.
    """

    def __init__(
        self, step_ms: int, step_tokens: int, max_cached_prefixes: int
    ) -> None:
        self.step_ms = step_ms
        self.step_tokens = step_tokens
        self.max_cached_prefixes = max_cached_prefixes


class EngineJob:
    """A request that an engine processes.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: tokens to generate.
    :param prefix: hash of the prompt prefix that can be cached; 0 if none.
    :param prefix_tokens: tokens of that prefix.
    :param emit_token: called with the number of each generated token, then
        with None.
    """

    def __init__(
        self,
        prompt_tokens: int,
        output_tokens: int,
        prefix: int,
        prefix_tokens: int,
        emit_token: Callable[[int | None], None],
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.prefill_tokens_left = prompt_tokens
        self.computed_tokens = 0
        self.emitted_tokens = 0
        self.emit_token = emit_token
        self.cancelled = False

    @property
    def is_done(self) -> bool:
        """True once all output tokens were generated."""
        return self.emitted_tokens >= self.output_tokens


class EngineCore:
    """Runs the jobs of an engine, without a clock and without a socket.

    :param speed: speed and cache size.
    :param computed_prefixes: prefixes that any engine has computed before.
        Engines may share the set; computing one of them again is counted as
        wasted work.
    """

    def __init__(
        self, speed: EngineSpeed, computed_prefixes: set[int] | None = None
    ) -> None:
        self._speed = speed
        self._computed_prefixes = (
            set() if computed_prefixes is None else computed_prefixes
        )
        self._jobs: collections.deque[EngineJob] = collections.deque()
        # An ordered set: the prefix used longest ago comes first.
        self.prefix_cache: collections.OrderedDict[int, int]
        self.prefix_cache = collections.OrderedDict()
        self.prefilled_tokens = 0
        self.cache_events: list[tuple[int, bool]] = []
        self.recomputed_tokens = 0
        self.cancelled_tokens = 0

    @property
    def wasted_tokens(self) -> int:
        """Prompt tokens computed again or computed for cancelled jobs."""
        return self.recomputed_tokens + self.cancelled_tokens

    @property
    def running(self) -> int:
        """Number of unfinished jobs."""
        return len(self._jobs)

    @property
    def waiting_tokens(self) -> int:
        """Prompt and output tokens still to be computed for all jobs."""
        return sum(
            job.prefill_tokens_left + job.output_tokens - job.emitted_tokens
            for job in self._jobs
        )

    def add(self, job: EngineJob) -> None:
        """Start a job; a cached prefix of its prompt isn't computed again."""
        if job.prefix in self.prefix_cache:
            self.prefix_cache.move_to_end(job.prefix)
            cached_tokens = min(job.prefix_tokens, job.prompt_tokens - 1)
            job.prefill_tokens_left = job.prompt_tokens - cached_tokens
        elif job.prefix in self._computed_prefixes:
            self.recomputed_tokens += job.prefix_tokens
        self._jobs.append(job)

    def step(self) -> None:
        """Compute one step: output tokens first, then prompt tokens."""
        self._remove_cancelled_jobs()
        token_budget = self._speed.step_tokens
        for job in list(self._jobs):
            if token_budget <= 0:
                break
            if job.prefill_tokens_left == 0:
                token_budget -= 1
                self._emit_next_token(job)
        for job in list(self._jobs):
            if token_budget <= 0:
                break
            step_tokens_computed = min(token_budget, job.prefill_tokens_left)
            token_budget -= step_tokens_computed
            job.prefill_tokens_left -= step_tokens_computed
            job.computed_tokens += step_tokens_computed
            self.prefilled_tokens += step_tokens_computed
            if step_tokens_computed and job.prefill_tokens_left == 0:
                self._cache_prefix(job.prefix)

    def _emit_next_token(self, job: EngineJob) -> None:
        job.emitted_tokens += 1
        job.emit_token(job.emitted_tokens)
        if job.is_done:
            job.emit_token(None)
            self._jobs.remove(job)

    def _remove_cancelled_jobs(self) -> None:
        for job in [job for job in self._jobs if job.cancelled]:
            self._jobs.remove(job)
            self.cancelled_tokens += job.computed_tokens

    def _cache_prefix(self, prefix: int) -> None:
        if not prefix:
            return
        self._computed_prefixes.add(prefix)
        if prefix not in self.prefix_cache:
            self.cache_events.append((prefix, True))
        self.prefix_cache[prefix] = 1
        self.prefix_cache.move_to_end(prefix)
        while len(self.prefix_cache) > self._speed.max_cached_prefixes:
            evicted_prefix, _ = self.prefix_cache.popitem(last=False)
            self.cache_events.append((evicted_prefix, False))
