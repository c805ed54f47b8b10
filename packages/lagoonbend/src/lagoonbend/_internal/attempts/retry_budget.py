"""Limits retries to a share of the dispatches."""

RETRIES_PER_DISPATCH = 0.1
MAX_CREDIT = 10.0
"""Number of retries that may be saved up."""


class RetryBudget:
    """Credit for retries, earned by first dispatches.

    Each first dispatch earns credit for ``ratio`` retries, so that retries
    never exceed that share of the load, even while every target fails. At
    most ``MAX_CREDIT`` retries are saved up for a burst.

    :param ratio: retries that one first dispatch earns.
    """

    def __init__(self, ratio: float = RETRIES_PER_DISPATCH) -> None:
        self._ratio = ratio
        self._credit = 0.0

    def earn(self) -> None:
        """Record a first dispatch."""
        self._credit = min(self._credit + self._ratio, MAX_CREDIT)

    def spend(self) -> bool:
        """Use the credit for one retry; return False if there is none."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
