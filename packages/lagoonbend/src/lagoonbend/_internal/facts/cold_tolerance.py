"""Tolerated excess over the rate of a cold target."""

from typing import NamedTuple


class ColdTolerance(NamedTuple):
    """How exactly the rate of a cold target must be kept.

    In no second may a cold target get more than its rate x
    ``overshoot_ratio`` + ``slack`` calls from all instances together.

    :param overshoot_ratio: tolerated multiple of the rate.
    :param slack: additional tolerated calls.
    """

    overshoot_ratio: float = 1.0
    slack: float = 0.0

    def find_decider_rate_per_s(
        self, rate_per_s: float, burst_s: float
    ) -> float:
        """Return the rate at which deciders together send calls.

        It is below the given one only if the burst of a token bucket would
        exceed what is tolerated beside the fallback schedulers.

        :param burst_s: time whose calls may be sent at once.
        """
        tolerated = rate_per_s * self.overshoot_ratio + self.slack / 2
        return min(rate_per_s, tolerated / (1.0 + burst_s))

    @property
    def fallback_rate_per_s(self) -> float:
        """Rate at which all fallback schedulers together send calls."""
        return self.slack / 2
