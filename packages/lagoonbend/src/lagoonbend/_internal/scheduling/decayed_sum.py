"""A sum in which older amounts count for less."""

import math


class DecayedSum:
    """Sum of amounts that decay exponentially with their age.

    :param decay_ms: time constant of the decay.
    """

    def __init__(self, decay_ms: float) -> None:
        self._decay_ms = decay_ms
        self._sum = 0.0
        self._at_ms = 0

    def add(self, amount: float, now_ms: int) -> float:
        """Add an amount, which may be negative; return the decayed sum."""
        self._sum = self.get(now_ms) + amount
        self._at_ms = now_ms
        return self._sum

    def get(self, now_ms: int) -> float:
        """Return the decayed sum."""
        return self._sum * math.exp((self._at_ms - now_ms) / self._decay_ms)
