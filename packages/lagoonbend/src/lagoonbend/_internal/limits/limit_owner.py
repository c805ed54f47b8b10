"""Divides customers' limits among instances."""

from typing import NamedTuple

from lagoonbend._internal.utils.clock import Clock

REPORT_LIFE_MS = 10_000
EQUAL_PART = 0.25


class DemandReport(NamedTuple):
    """The demand that an instance sees.

    :param demand_per_s: requests a second.
    :param reported_ms: when it was reported, on the owner's clock.
    """

    demand_per_s: float
    reported_ms: int


class LimitOwner:
    """Gives each instance its share of the limits owned here.

    A quarter of what the reporting instances may give is divided equally
    and the rest by demand. Instances that do not report keep their equal
    part, which they use while they can't reach the owner: the shares never
    add up to more than the limit, in a cut as well. A report outlives the
    share that was given for it, so that a share is never given twice.

    :param clock: clock of the owner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, dict[str, DemandReport]] = {}

    def report(
        self, instance: str, demands: dict[str, float], instance_count: int
    ) -> dict[str, float]:
        """Note demands by customer; return the shares by customer.

        :param instance_count: number of listed instances.
        """
        now_ms = self._clock.now_ms()
        shares = {}
        for customer, demand_per_s in demands.items():
            reports = self._reports.setdefault(customer, {})
            reports[instance] = DemandReport(demand_per_s, now_ms)
            self._expire(reports, now_ms)
            shares[customer] = _divide(reports, instance, instance_count)
        return shares

    @staticmethod
    def _expire(reports: dict[str, DemandReport], now_ms: int) -> None:
        for name, report in list(reports.items()):
            if now_ms - report.reported_ms >= REPORT_LIFE_MS:
                del reports[name]


def _divide(
    reports: dict[str, DemandReport], instance: str, instance_count: int
) -> float:
    total = sum(report.demand_per_s for report in reports.values())
    if not total:
        return 1 / max(instance_count, len(reports))
    part = len(reports) / max(instance_count, len(reports))
    by_demand = reports[instance].demand_per_s / total
    equal = 1 / len(reports)
    return part * (EQUAL_PART * equal + (1 - EQUAL_PART) * by_demand)
