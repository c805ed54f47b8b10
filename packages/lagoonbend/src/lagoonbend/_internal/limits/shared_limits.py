"""Customers' limits, counted in units over all instances."""

from collections.abc import Mapping

from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.limits.debt_bucket import DebtBucket
from lagoonbend._internal.limits.limit_tolerance import LimitTolerance

START_LEVEL = 0.3
"""Part of the burst that a customer has at an instance that has just
started, which doesn't know what was used before."""
SLACK_SHARE = 0.5
"""Part of the operators' slack that lets a cluster of calls pass; the rest
covers calls that are counted by two instances at about the same time."""
RESERVES = (0.0, 0.15, 0.3)
"""Seconds of the rate that calls of each level leave in the bucket for those
of more urgent levels."""
LARGE_CALL_S = 0.01
"""Seconds of the rate from which a call counts as large; refusing smaller
ones frees little."""
SMALL_CALL_DEBT_S = 0.3
"""Seconds of the rate by which the smallest calls may overdraw the bucket;
an eighth of what the tolerated overshoot of a window of 8 s amounts to."""
GREATEST_RETURN_MS = 5_000
"""Longest time after which a refused call is asked to return."""
NEWS_SPAN_MS = 1_000
"""Time for whose use of a limit a bucket has room: it holds about a second
of the rate. Twice the time between two questions to an instance that
decides."""
MARGIN = 0.95
"""Part of the tolerance that both sides of a cut may use together."""
GREATEST_MINORITY = 0.5
MILLISECONDS_PER_SECOND = 1000


class SharedLimits:
    """Limits of customers at an instance that gives places.

    Instances tell each other what they have let through. In a cut, the side
    with more than half of the known instances keeps the whole limit, and
    the others keep a part, so that all sides together stay within what
    operators tolerate.

    :param tolerance: how exactly limits must be kept.
    """

    def __init__(self, tolerance: LimitTolerance) -> None:
        self.reachable_share = 1.0
        self._tolerance = tolerance
        self._buckets: dict[str, DebtBucket] = {}
        self._returns: dict[str, float] = {}
        self._used: dict[str, float] = {}
        self._heard: dict[str, tuple[int, Mapping[str, float]]] = {}

    def take(
        self, rule: CustomerRule, units: float, level: int, now_ms: int
    ) -> int:
        """Count a call and return 0, or return when to come back in ms.

        Less urgent calls leave a part of the burst to more urgent ones of
        the same customer. Calls that are refused are asked to return one
        after the other, at the pace at which the limit lets them pass.

        :param units: what the call costs.
        :param level: importance; 0 is the most urgent.
        """
        if not rule.rate_per_s:
            return 0
        bucket = self._refill(rule, now_ms)
        rate_per_s = rule.rate_per_s * self.find_share(rule)
        size = min(1.0, units / (rule.rate_per_s * LARGE_CALL_S))
        reserve = RESERVES[min(level, len(RESERVES) - 1)] * size
        reserve -= SMALL_CALL_DEBT_S * (1.0 - size)
        wait_ms = bucket.find_wait_ms(rate_per_s, reserve * rate_per_s)
        if not wait_ms:
            bucket.spend(units)
            self._used[rule.name] = self._used.get(rule.name, 0.0) + units
            return 0
        span_ms = MILLISECONDS_PER_SECOND * units / rate_per_s
        return_ms = max(
            now_ms + wait_ms, self._returns.get(rule.name, 0.0) + span_ms
        )
        return_ms = min(return_ms, now_ms + GREATEST_RETURN_MS)
        self._returns[rule.name] = return_ms
        return int(return_ms - now_ms)

    def give_back(self, rule: CustomerRule, units: float) -> None:
        """Take back the count of a call that was let through but not sent."""
        bucket = self._buckets.get(rule.name)
        if bucket is not None:
            bucket.spend(-units)
            self._used[rule.name] = self._used.get(rule.name, 0.0) - units

    def get_used_units(self) -> Mapping[str, float]:
        """Return the units let through here since the start."""
        return self._used

    def record_peer_usage(
        self, incarnation: str, used: Mapping[str, float], now_ms: int
    ) -> None:
        """Take in what another instance has let through since its start.

        Of what it let through since it was last heard, the part of the
        newest ``NEWS_SPAN_MS`` counts, for the limit has refilled since.

        :param incarnation: identity of one life of that instance.
        :param used: empty if the news was left out.
        """
        if not used:
            return
        heard = self._heard.get(incarnation)
        self._heard[incarnation] = (now_ms, used)
        if heard is None:
            return
        heard_ms, before = heard
        newest = min(1.0, NEWS_SPAN_MS / max(1, now_ms - heard_ms))
        for customer, total in used.items():
            bucket = self._buckets.get(customer)
            if bucket is not None and customer in before:
                spent = max(0.0, total - before[customer])
                bucket.spend(newest * spent)

    def find_share(self, rule: CustomerRule) -> float:
        """Return the part of a limit that may be used here."""
        if self.reachable_share > GREATEST_MINORITY:
            return 1.0
        tolerance = self._tolerance
        limit = rule.rate_per_s * tolerance.window_s + rule.burst
        spare = MARGIN * (tolerance.overshoot + tolerance.slack_units / limit)
        return self.reachable_share * min(1.0, spare / GREATEST_MINORITY)

    def _refill(self, rule: CustomerRule, now_ms: int) -> DebtBucket:
        share = self.find_share(rule)
        burst = max(rule.burst, rule.rate_per_s) * share
        if share == 1.0:
            burst += SLACK_SHARE * self._tolerance.slack_units
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            bucket = DebtBucket(now_ms, burst * START_LEVEL)
            self._buckets[rule.name] = bucket
        bucket.refill(now_ms, rule.rate_per_s * share, burst)
        return bucket
