"""What became of the requests of a tier."""


class TierCounts:
    """Counts for one tier."""

    def __init__(self) -> None:
        self.sent = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0

    @property
    def goodput_percent(self) -> float:
        """Answers complete within their deadline, of all requests."""
        return 100 * self.in_time / self.sent if self.sent else 0.0
