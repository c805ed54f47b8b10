"""Outcomes and latencies of the requests of a tier."""

import collections

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 3
PERCENT = 100
PERCENTILES = (50.0, 95.0, 99.0)


class TierResult:
    """Collects the outcomes and latencies of one tier.

    Latency is measured from the planned time of a request, not from its actual
    sending: otherwise a slow system that delays the sending would hide that
    delay (coordinated omission).
    """

    def __init__(self) -> None:
        self.sent_count = 0
        self.on_time_count = 0
        self.late_count = 0
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self._latency_histogram = HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )

    def record(
        self, outcome: str, latency_ms: float, deadline_ms: int
    ) -> None:
        """Record the outcome of a request.

        :param outcome: ``answered``, the code of a refusal, or ``broken`` for
            a failed connection, an unreadable refusal or ticket, or an
            incomplete answer.
        :param latency_ms: time from the planned sending to the outcome.
        :param deadline_ms: time within which an answer is on time.
        """
        self.sent_count += 1
        self.outcome_counts[outcome] += 1
        if outcome != 'answered':
            return
        self._latency_histogram.record_value(
            max(MIN_LATENCY_MS, round(latency_ms))
        )
        if latency_ms <= deadline_ms:
            self.on_time_count += 1
        else:
            self.late_count += 1

    @property
    def goodput_percent(self) -> float:
        """Percentage of all requests whose answer was complete in time."""
        return (
            PERCENT * self.on_time_count / self.sent_count
            if self.sent_count
            else 0.0
        )

    def get_percentiles_ms(self) -> dict[str, float]:
        """Return percentiles of the latency of answered requests, by name."""
        return {
            f'p{percentile:g}': float(
                self._latency_histogram.get_value_at_percentile(percentile)
            )
            for percentile in PERCENTILES
        }
