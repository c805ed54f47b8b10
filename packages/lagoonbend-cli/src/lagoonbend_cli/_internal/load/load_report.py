"""Report on a load run."""

from typing import TypedDict

from lagoonbend_cli._internal.load.tier_result import TierResult


class TierReport(TypedDict):
    """Results of one tier.

    ``good`` and ``late`` count the answers within and after the deadline,
    ``ends`` counts the requests by outcome, and ``latency_ms`` holds
    percentiles by name, such as ``p50``.
    """

    tier: str
    sent: int
    good: int
    late: int
    goodput_percent: float
    latency_ms: dict[str, float]
    ends: dict[str, int]


class LoadReport(TypedDict):
    """Parameters and results of the whole run.

    ``wasted_tokens`` and ``prefilled_tokens`` are what the named engines
    counted during the run, summed; None if no engine was named.
    """

    mix: str
    seed: int
    rate_per_s: float
    duration_s: float
    tiers: list[TierReport]
    wasted_tokens: int | None
    prefilled_tokens: int | None


def build_tier_report(tier: str, result: TierResult) -> TierReport:
    """Return the report on one tier."""
    return TierReport(
        tier=tier,
        sent=result.sent_count,
        good=result.on_time_count,
        late=result.late_count,
        goodput_percent=round(result.goodput_percent, 1),
        latency_ms=result.get_percentiles_ms(),
        ends=dict(result.outcome_counts),
    )
