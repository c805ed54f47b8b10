"""Divides the customers' limits among the instances."""

from typing import NamedTuple

from lagoonbend._internal.utils.clock import Clock

REPORT_TTL_MS = 10_000
"""Time for which a report counts. It is longer than an instance uses the share
assigned for the report, so that no share is assigned twice."""
EQUALLY_DIVIDED_SHARE = 0.25
"""Share of the reporting instances' limit that is not divided by demand."""


class DemandReport(NamedTuple):
    """Demand of a customer at an instance.

    :param demand_per_s: requests per second.
    :param reported_ms: when it was reported, on the owner's clock.
    """

    demand_per_s: float
    reported_ms: int


class LimitOwner:
    """Assigns each instance its share of the limits owned here.

    An instance that does not report keeps the share that it would have if the
    limit was divided equally among all listed instances; it uses this share
    while it can't reach the owner. The rest belongs to the reporting
    instances: a quarter of it is divided equally, the other part by demand.
    Thus the shares never add up to more than the limit, also during a network
    partition. A report outlives the share that was assigned for it, so that no
    share is assigned twice.

    :param clock: clock of the owner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, dict[str, DemandReport]] = {}

    def report(
        self, instance: str, demands: dict[str, float], instance_count: int
    ) -> dict[str, float]:
        """Record the demands of an instance; return its shares by customer.

        :param instance_count: number of listed instances.
        """
        now_ms = self._clock.now_ms()
        shares = {}
        for customer, demand_per_s in demands.items():
            reports = self._reports.setdefault(customer, {})
            reports[instance] = DemandReport(demand_per_s, now_ms)
            self._expire(reports, now_ms)
            shares[customer] = _compute_share(
                reports, instance, instance_count
            )
        return shares

    @staticmethod
    def _expire(reports: dict[str, DemandReport], now_ms: int) -> None:
        for name, report in list(reports.items()):
            if now_ms - report.reported_ms >= REPORT_TTL_MS:
                del reports[name]


def _compute_share(
    reports: dict[str, DemandReport], instance: str, instance_count: int
) -> float:
    total = sum(report.demand_per_s for report in reports.values())
    if not total:
        return 1 / max(instance_count, len(reports))
    reported_share = len(reports) / max(instance_count, len(reports))
    demand_share = reports[instance].demand_per_s / total
    equal_share = 1 / len(reports)
    return reported_share * (
        EQUALLY_DIVIDED_SHARE * equal_share
        + (1 - EQUALLY_DIVIDED_SHARE) * demand_share
    )
