"""Continuous batching of a model engine, step by step."""

import collections
from collections.abc import Callable


class EngineSpeed:
    """Speed and memory of an engine.

    :param step_ms: time of one step.
    :param step_tokens: tokens computed in one step, prompts and outputs.
    :param cached_prefixes: prompt prefixes that the cache holds.
    """

    def __init__(
        self, step_ms: int, step_tokens: int, cached_prefixes: int
    ) -> None:
        self.step_ms = step_ms
        self.step_tokens = step_tokens
        self.cached_prefixes = cached_prefixes


class EngineJob:
    """A request inside the engine.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: tokens to generate.
    :param prefix: hash of the start of the prompt; 0 if there is none.
    :param prefix_tokens: tokens of that start.
    :param emit: called with the number of each token, then with None.
    """

    def __init__(
        self,
        prompt_tokens: int,
        output_tokens: int,
        prefix: int,
        prefix_tokens: int,
        emit: Callable[[int | None], None],
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.prefill_left = prompt_tokens
        self.computed_tokens = 0
        self.emitted = 0
        self.emit = emit
        self.cancelled = False

    @property
    def is_done(self) -> bool:
        """True once all tokens were generated."""
        return self.emitted >= self.output_tokens


class EngineCore:
    """Jobs of an engine; no clock and no socket.

    :param speed: speed and memory.
    :param seen: prefixes that some engine has computed before.
    """

    def __init__(
        self, speed: EngineSpeed, seen: set[int] | None = None
    ) -> None:
        self._speed = speed
        self._seen = set() if seen is None else seen
        self._jobs: collections.deque[EngineJob] = collections.deque()
        self.cache: collections.OrderedDict[int, int]
        self.cache = collections.OrderedDict()
        self.prefilled_tokens = 0
        self.cache_events: list[tuple[int, bool]] = []
        self.recomputed_tokens = 0
        self.dropped_tokens = 0

    @property
    def wasted_tokens(self) -> int:
        """Prompt tokens computed again, or for work then dropped."""
        return self.recomputed_tokens + self.dropped_tokens

    @property
    def running(self) -> int:
        """Number of jobs."""
        return len(self._jobs)

    @property
    def waiting_tokens(self) -> int:
        """Tokens that the jobs still need."""
        return sum(
            job.prefill_left + job.output_tokens - job.emitted
            for job in self._jobs
        )

    def add(self, job: EngineJob) -> None:
        """Start a job; its cached prefix costs nothing."""
        if job.prefix in self.cache:
            self.cache.move_to_end(job.prefix)
            cached = min(job.prefix_tokens, job.prompt_tokens - 1)
            job.prefill_left = job.prompt_tokens - cached
        elif job.prefix in self._seen:
            self.recomputed_tokens += job.prefix_tokens
        self._jobs.append(job)

    def step(self) -> None:
        """Compute one step: outputs first, prompts with what is left."""
        self._drop_cancelled()
        budget = self._speed.step_tokens
        for job in list(self._jobs):
            if budget <= 0:
                break
            if job.prefill_left == 0:
                budget -= 1
                self._emit(job)
        for job in list(self._jobs):
            if budget <= 0:
                break
            computed = min(budget, job.prefill_left)
            budget -= computed
            job.prefill_left -= computed
            job.computed_tokens += computed
            self.prefilled_tokens += computed
            if computed and job.prefill_left == 0:
                self._remember(job.prefix)

    def _emit(self, job: EngineJob) -> None:
        job.emitted += 1
        job.emit(job.emitted)
        if job.is_done:
            job.emit(None)
            self._jobs.remove(job)

    def _drop_cancelled(self) -> None:
        for job in [job for job in self._jobs if job.cancelled]:
            self._jobs.remove(job)
            self.dropped_tokens += job.computed_tokens

    def _remember(self, prefix: int) -> None:
        if not prefix:
            return
        self._seen.add(prefix)
        if prefix not in self.cache:
            self.cache_events.append((prefix, True))
        self.cache[prefix] = 1
        self.cache.move_to_end(prefix)
        while len(self.cache) > self._speed.cached_prefixes:
            dropped, _ = self.cache.popitem(last=False)
            self.cache_events.append((dropped, False))
