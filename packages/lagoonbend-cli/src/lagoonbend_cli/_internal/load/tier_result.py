"""What became of the requests of a tier."""

import collections

from hdrh.histogram import HdrHistogram

LEAST_MS = 1
GREATEST_MS = 600_000
DIGITS = 3
PERCENT = 100
PERCENTILES = (50.0, 95.0, 99.0)


class TierResult:
    """Counts and latencies of one tier.

    Latency counts from the time at which the request was to be sent, so that
    a slow system can't hide its own delay.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.good = 0
        self.late = 0
        self.ends: collections.Counter[str] = collections.Counter()
        self._latency = HdrHistogram(LEAST_MS, GREATEST_MS, DIGITS)

    def note(self, end: str, latency_ms: float, deadline_ms: int) -> None:
        """Note the end of a request.

        :param end: ``answered``, a refusal's code or ``broken``.
        """
        self.sent += 1
        self.ends[end] += 1
        if end != 'answered':
            return
        self._latency.record_value(max(LEAST_MS, round(latency_ms)))
        if latency_ms <= deadline_ms:
            self.good += 1
        else:
            self.late += 1

    @property
    def goodput_percent(self) -> float:
        """Answers complete within their deadline, of all requests."""
        return PERCENT * self.good / self.sent if self.sent else 0.0

    def read_percentiles(self) -> dict[str, float]:
        """Return latencies of answered requests in milliseconds."""
        return {
            f'p{percentile:g}': float(
                self._latency.get_value_at_percentile(percentile)
            )
            for percentile in PERCENTILES
        }
