"""Bounds the extra dispatches of retries."""

RATIO = 0.1
GREATEST_CREDIT = 10.0


class RetryBudget:
    """Credit for retries, earned by first dispatches.

    Each first dispatch earns ``ratio`` of a retry, so that retries never
    exceed that share of the load, also while every target fails.

    :param ratio: retries that one first dispatch earns.
    """

    def __init__(self, ratio: float = RATIO) -> None:
        self._ratio = ratio
        self._credit = 0.0

    def earn(self) -> None:
        """Note a first dispatch."""
        self._credit = min(self._credit + self._ratio, GREATEST_CREDIT)

    def spend(self) -> bool:
        """Take the credit for one retry; return False if there is none."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
