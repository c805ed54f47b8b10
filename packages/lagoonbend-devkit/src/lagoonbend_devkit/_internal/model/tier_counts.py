"""Numbers of requests of a tier by their outcome."""


class TierCounts:
    """Counts requests of one tier: sent, in time, late and refused."""

    def __init__(self) -> None:
        self.sent = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0

    @property
    def goodput_percent(self) -> float:
        """Percentage of all requests answered within their deadline."""
        return 100 * self.in_time / self.sent if self.sent else 0.0
