"""Continuous batching of a model engine, step by step."""

import collections
from collections.abc import Callable

import xxhash

CHARACTERS_PER_TOKEN = 4
PREFIX_TOKENS = 16


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

    :param prompt: whole prompt.
    :param output_tokens: tokens to generate.
    :param emit: called with each token, and with None at the end.
    """

    def __init__(
        self,
        prompt: str,
        output_tokens: int,
        emit: Callable[[str | None], None],
    ) -> None:
        self.prompt_tokens = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
        head = prompt[: PREFIX_TOKENS * CHARACTERS_PER_TOKEN]
        self.prefix = xxhash.xxh3_64_intdigest(head.encode())
        self.stamp = f'{xxhash.xxh3_64_intdigest(prompt.encode()):016x}'
        self.prefill_left = self.prompt_tokens
        self.output_tokens = output_tokens
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
    """

    def __init__(self, speed: EngineSpeed) -> None:
        self._speed = speed
        self._jobs: collections.deque[EngineJob] = collections.deque()
        self._cache: collections.OrderedDict[int, int]
        self._cache = collections.OrderedDict()
        self.prefilled_tokens = 0
        self.wasted_tokens = 0

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
        if job.prefix in self._cache:
            self._cache.move_to_end(job.prefix)
            cached = min(PREFIX_TOKENS, job.prompt_tokens - 1)
            job.prefill_left = job.prompt_tokens - cached
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
            self.prefilled_tokens += computed
            if computed and job.prefill_left == 0:
                self._remember(job.prefix)

    def _emit(self, job: EngineJob) -> None:
        job.emitted += 1
        job.emit(f'{job.stamp}:{job.emitted}')
        if job.is_done:
            job.emit(None)
            self._jobs.remove(job)

    def _drop_cancelled(self) -> None:
        for job in [job for job in self._jobs if job.cancelled]:
            self._jobs.remove(job)
            self.wasted_tokens += job.prompt_tokens - job.prefill_left

    def _remember(self, prefix: int) -> None:
        self._cache[prefix] = 1
        self._cache.move_to_end(prefix)
        while len(self._cache) > self._speed.cached_prefixes:
            self._cache.popitem(last=False)
