"""Time that the engines of a pool take to the first event of an answer."""

PRIOR_BASE_MS = 110.0
"""Time to the first event of an idle engine for an empty prompt, until answers
tell. It is that of the first engines of the users' deployments."""
PRIOR_MS_PER_TOKEN = 1 / 69.8
"""Time to process one token of a prompt (prefill) of the same engines."""
MAX_RATIO = 20.0
"""Ratio to the prior by which a learned time may differ. Engines in use differ
by 7 in the base time and 1.3 in the time for each token."""
LONGEST_PROMPT_TOKENS = 40_000
MAX_GROWTH = 4 * PRIOR_MS_PER_TOKEN / LONGEST_PROMPT_TOKENS
"""Bound on the growth, in ms for each token squared: a token of the longest
prompt takes at most five times as long as one of a short prompt."""
UNIT_TOKENS = 2_000.0
"""Unit of length in the equations, a usual prompt, so that their coefficients
are of one magnitude."""
PRIOR_WEIGHT = 0.05
"""Weight of the prior for each of the values, in answers of each length. It
decides only what the answers don't tell."""
MEMORY_ANSWERS = 250
"""Answers over which is averaged, with exponentially decreasing weights."""
SPREAD_LEARNING_RATE = 0.05
"""Weight of the newest answer in the usual deviation."""
INITIAL_SPREAD = 0.5
MIN_SPREAD = 0.05
"""Relative deviation of answers from what is expected: at first that of an
engine that is unlike the prior, and the least that is told from noise."""
OUTLIER_SPREADS = 3.0
"""Multiple of the usual deviation to which a larger one is cut. If engines
change, all deviations are cut at first, and the usual one grows by a tenth
with each answer."""
COMPARED_ANSWERS = 250
"""Answers over which the errors of the best values are compared with those of
the values in use."""
MIN_COMPARED_ANSWERS = 60
MAX_ERROR_RATIO = 0.9
"""Ratio of the mean squared errors below which the best values replace those
in use. A smaller gain may be chance, and would only change the choice among
equal targets."""
SWEEP_INTERVAL = 4
SWEEPS = 4
"""Answers after which the best values are found anew, and passes over them. A
pass starts from the last values, which are close."""
MAX_WAIT_SHARE = 0.25
"""Expected wait for other prompts, as a share of the time without it, above
which an answer tells more about the others than about its own prompt."""


class PrefillTimes:
    """Base time, time per token and growth with the length, from answers.

    At a target of slowness 1, a prompt of ``n`` tokens takes
    ``base_ms + ms_per_token * n + growth * n**2``. The values minimize the sum
    of squared relative errors within their bounds. Only their ratios to each
    other follow from the answers, since the slowness of each target is
    learned, too.
    """

    def __init__(self) -> None:
        self.base_ms = PRIOR_BASE_MS
        self.ms_per_token = PRIOR_MS_PER_TOKEN
        self.growth = 0.0
        self._spread = INITIAL_SPREAD
        self._answers = 0
        self._compared = 0
        self._error = 0.0
        self._used_error = 0.0
        unit_ms = PRIOR_MS_PER_TOKEN * UNIT_TOKENS
        self._values = [PRIOR_BASE_MS, unit_ms, 0.0]
        self._bounds = (
            (PRIOR_BASE_MS / MAX_RATIO, PRIOR_BASE_MS * MAX_RATIO),
            (unit_ms / MAX_RATIO, unit_ms * MAX_RATIO),
            (0.0, MAX_GROWTH * UNIT_TOKENS**2),
        )
        scales = (PRIOR_BASE_MS, unit_ms, unit_ms)
        self._prior = [PRIOR_WEIGHT / scale**2 for scale in scales]
        self._prior_values = tuple(self._values)
        self._products = [[0.0] * 3 for _ in scales]
        self._targets = [0.0] * 3

    def estimate_ms(self, new_tokens: int) -> float:
        """Return the time to the first event without prompts ahead.

        :param new_tokens: tokens of the prompt that aren't cached.
        """
        slope = self.ms_per_token + self.growth * new_tokens
        return self.base_ms + slope * new_tokens

    def estimate_prefill_ms(self, new_tokens: int) -> float:
        """Return the part of it for which other prompts must wait."""
        return new_tokens * (self.ms_per_token + self.growth * new_tokens)

    def learn(
        self, new_tokens: int, first_event_ms: float, wait_ms: float
    ) -> None:
        """Learn from an answer; all times are those at a slowness of 1.

        :param new_tokens: tokens of its prompt that were not cached.
        :param first_event_ms: time to its first event.
        :param wait_ms: expected time for prompts ahead of it.
        """
        length = new_tokens / UNIT_TOKENS
        expected_ms = self._fit_ms(length)
        if wait_ms > MAX_WAIT_SHARE * expected_ms:
            return
        limit = OUTLIER_SPREADS * self._spread
        idle_ms = first_event_ms - wait_ms
        deviation = _cut(idle_ms / expected_ms - 1.0, limit)
        used_ms = self.estimate_ms(new_tokens)
        used_deviation = _cut(idle_ms / used_ms - 1.0, limit)
        change = abs(deviation) - self._spread
        self._spread += SPREAD_LEARNING_RATE * change
        self._spread = min(max(self._spread, MIN_SPREAD), INITIAL_SPREAD)
        self._add(length, expected_ms, 1.0 + deviation)
        self._answers += 1
        if not self._answers % SWEEP_INTERVAL:
            for _ in range(SWEEPS):
                self._improve()
        if self._is_better(deviation, used_deviation):
            self.base_ms, unit_ms, growth_ms = self._values
            self.ms_per_token = unit_ms / UNIT_TOKENS
            self.growth = growth_ms / UNIT_TOKENS**2

    def describe(self) -> str:
        """Return the values for logs."""
        return (
            f'{self.base_ms:.0f} ms, {1_000 * self.ms_per_token:.1f} us/token,'
            f' growth {1e6 * self.growth:.2f} ns/token^2'
        )

    def _fit_ms(self, length: float) -> float:
        """Return the time of a prompt by the values that fit best."""
        base_ms, unit_ms, growth_ms = self._values
        return base_ms + length * (unit_ms + growth_ms * length)

    def _is_better(self, deviation: float, used_deviation: float) -> bool:
        """Return True if the best values are to replace those in use.

        :param deviation: deviation of an answer from the best values, before
            they were adjusted to it.
        :param used_deviation: its deviation from those in use.
        """
        self._compared = min(self._compared + 1, COMPARED_ANSWERS)
        rate = 1.0 / self._compared
        self._error += rate * (deviation**2 - self._error)
        self._used_error += rate * (used_deviation**2 - self._used_error)
        return (
            self._compared >= MIN_COMPARED_ANSWERS
            and self._error < MAX_ERROR_RATIO * self._used_error
        )

    def _add(self, length: float, expected_ms: float, ratio: float) -> None:
        """Add an answer to the equations.

        :param length: tokens of its prompt, in ``UNIT_TOKENS``.
        :param expected_ms: time by the present values.
        :param ratio: its time as a multiple of that.
        """
        factors = [power / expected_ms for power in (1.0, length, length**2)]
        kept = 1.0 - 1.0 / MEMORY_ANSWERS
        for row, factor in enumerate(factors):
            products = self._products[row]
            for column, other in enumerate(factors):
                products[column] = kept * products[column] + factor * other
            self._targets[row] = kept * self._targets[row] + factor * ratio

    def _improve(self) -> None:
        """Set each value to the best one within its bounds, given the rest."""
        values = self._values
        for row, products in enumerate(self._products):
            weight = self._prior[row]
            total = self._targets[row] + weight * self._prior_values[row]
            for column, value in enumerate(values):
                if column != row:
                    total -= products[column] * value
            least, most = self._bounds[row]
            best = total / (products[row] + weight)
            values[row] = min(max(best, least), most)


def _cut(deviation: float, limit: float) -> float:
    """Return a deviation within a limit of either sign."""
    return min(max(deviation, -limit), limit)
