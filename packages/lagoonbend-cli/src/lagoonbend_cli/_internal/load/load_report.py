"""The report of a load run."""

from typing import TypedDict

from lagoonbend_cli._internal.load.tier_result import TierResult


class TierReport(TypedDict):
    """One tier; latencies in milliseconds."""

    tier: str
    sent: int
    good: int
    late: int
    goodput_percent: float
    latency_ms: dict[str, float]
    ends: dict[str, int]


class LoadReport(TypedDict):
    """The whole run.

    ``wasted_tokens`` and ``prefilled_tokens`` are summed over the engines
    that were named; None if none was.
    """

    mix: str
    seed: int
    rate_per_s: float
    duration_s: float
    tiers: list[TierReport]
    wasted_tokens: int | None
    prefilled_tokens: int | None


def report_tier(tier: str, result: TierResult) -> TierReport:
    """Return the report of one tier."""
    return TierReport(
        tier=tier,
        sent=result.sent,
        good=result.good,
        late=result.late,
        goodput_percent=round(result.goodput_percent, 1),
        latency_ms=result.read_percentiles(),
        ends=dict(result.ends),
    )
