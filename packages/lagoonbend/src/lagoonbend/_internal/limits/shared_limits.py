"""Customers' limits, counted in units over all instances."""

from collections.abc import Mapping
import copy

from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.limits.debt_bucket import DebtBucket
from lagoonbend._internal.limits.limit_tolerance import LimitTolerance

INITIAL_LEVEL_SHARE = 0.3
"""Share of the burst that a customer has at an instance that has just
started and doesn't know the earlier use of the limit."""
SLACK_SHARE = 0.5
"""Share of the tolerated slack that is added to the burst, so that a
cluster of calls passes. The rest covers calls that two instances count at
about the same time."""
RESERVES_S = (0.0, 0.15, 0.3)
"""Seconds of the rate that calls leave in the bucket for more urgent ones,
by the rank of their route."""
LARGE_CALL_S = 0.01
"""Seconds of the rate from which a call counts as large. Refusing smaller
calls frees little."""
SMALL_CALL_DEBT_S = 0.3
"""Seconds of the rate by which the smallest calls may overdraw the bucket;
an eighth of the tolerated overshoot in a window of 8 s."""
MAX_RETRY_AFTER_MS = 5_000
"""Maximum time after which a refused call is asked to retry."""
USAGE_SPAN_MS = 1_000
"""Time span of another instance's use that is charged to the bucket, which
holds about a second of the rate. It is twice the longest interval of the
heartbeats between an instance and a decider."""
TOLERANCE_SHARE = 0.95
"""Share of the tolerance that both sides of a network partition may use
together."""
MAX_MINORITY_SHARE = 0.5
"""Share of the known instances up to which the reachable ones may be a
minority. Only an instance that reaches more than this uses the whole limit."""
MILLISECONDS_PER_SECOND = 1000


class SharedLimits:
    """Customers' limits at an instance that grants slots.

    Instances report to each other the units that they have admitted. During a
    network partition, the side with more than half of the known instances
    keeps the whole limit. Each other side keeps a part of it, so that all
    sides together stay within the tolerance.

    ``reachable_share`` is the number of reachable instances divided by that of
    known ones.

    :param tolerance: permitted deviation from the limits.
    """

    def __init__(self, tolerance: LimitTolerance) -> None:
        self.reachable_share = 1.0
        self._tolerance = tolerance
        self._buckets: dict[str, DebtBucket] = {}
        self._retry_at_ms: dict[str, float] = {}
        self._used_units: dict[str, float] = {}
        self._peer_usage: dict[str, tuple[int, Mapping[str, float]]] = {}

    def take(
        self, rule: CustomerRule, units: float, route_rank: int, now_ms: int
    ) -> int:
        """Charge a call; return 0, or the milliseconds until a retry.

        Less urgent calls leave a part of the burst to more urgent ones of the
        same customer. The retries of refused calls are spread over time, at
        the rate at which the limit admits them.

        :param units: cost of the call.
        :param route_rank: rank of the call's route; 0 is the most urgent.
        """
        if not rule.rate_per_s:
            return 0
        bucket = self._refill(rule, now_ms)
        rate_per_s = rule.rate_per_s * self.find_share(rule)
        size = min(1.0, units / (rule.rate_per_s * LARGE_CALL_S))
        reserve = RESERVES_S[min(route_rank, len(RESERVES_S) - 1)] * size
        reserve -= SMALL_CALL_DEBT_S * (1.0 - size)
        wait_ms = bucket.find_wait_ms(rate_per_s, reserve * rate_per_s)
        if not wait_ms:
            bucket.spend(units)
            self._used_units[rule.name] = (
                self._used_units.get(rule.name, 0.0) + units
            )
            return 0
        if not rate_per_s:
            return MAX_RETRY_AFTER_MS
        span_ms = MILLISECONDS_PER_SECOND * units / rate_per_s
        retry_at_ms = max(
            now_ms + wait_ms, self._retry_at_ms.get(rule.name, 0.0) + span_ms
        )
        retry_at_ms = min(retry_at_ms, now_ms + MAX_RETRY_AFTER_MS)
        self._retry_at_ms[rule.name] = retry_at_ms
        return int(retry_at_ms - now_ms)

    def refund(self, rule: CustomerRule, units: float) -> None:
        """Return the units of a call that was charged but not sent."""
        bucket = self._buckets.get(rule.name)
        if bucket is not None:
            bucket.spend(-units)
            self._used_units[rule.name] = (
                self._used_units.get(rule.name, 0.0) - units
            )

    def make_copy(self) -> 'SharedLimits':
        """Return a copy from which calls can be taken without effect here."""
        copied = copy.copy(self)
        copied._buckets = {
            name: copy.copy(bucket) for name, bucket in self._buckets.items()
        }
        copied._retry_at_ms = dict(self._retry_at_ms)
        copied._used_units = dict(self._used_units)
        return copied

    def find_level(self, rule: CustomerRule, now_ms: int) -> float | None:
        """Return the units that a customer may use at once.

        :returns: None if no call of it has been charged here.
        """
        if rule.name not in self._buckets:
            return None
        return self.make_copy()._refill(rule, now_ms).level

    def get_used_units(self) -> Mapping[str, float]:
        """Return the units admitted here since the start, by customer."""
        return self._used_units

    def record_peer_usage(
        self, incarnation: str, used: Mapping[str, float], now_ms: int
    ) -> None:
        """Charge the units that another instance has admitted.

        Only those of the last ``USAGE_SPAN_MS`` count, estimated as a share of
        the units since its previous report: the bucket has refilled since the
        earlier ones. A customer that the previous report doesn't name had used
        none.

        :param incarnation: identity of one process start of that instance.
        :param used: units since its start, by customer.
        """
        previous = self._peer_usage.get(incarnation)
        self._peer_usage[incarnation] = (now_ms, used)
        if previous is None:
            return
        received_ms, previous_units = previous
        recent_share = min(1.0, USAGE_SPAN_MS / max(1, now_ms - received_ms))
        for customer, total in used.items():
            bucket = self._buckets.get(customer)
            if bucket is not None:
                used_before = previous_units.get(customer, 0.0)
                used_since = max(0.0, total - used_before)
                bucket.spend(recent_share * used_since)

    def find_share(self, rule: CustomerRule) -> float:
        """Return the share of a limit that may be used here."""
        if self.reachable_share > MAX_MINORITY_SHARE:
            return 1.0
        tolerance = self._tolerance
        limit = rule.rate_per_s * tolerance.window_s + rule.burst
        usable_tolerance = TOLERANCE_SHARE * (
            tolerance.overshoot + tolerance.slack_units / limit
        )
        return self.reachable_share * min(
            1.0, usable_tolerance / MAX_MINORITY_SHARE
        )

    def _refill(self, rule: CustomerRule, now_ms: int) -> DebtBucket:
        share = self.find_share(rule)
        burst = max(rule.burst, rule.rate_per_s) * share
        if share == 1.0:
            burst += SLACK_SHARE * self._tolerance.slack_units
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            bucket = DebtBucket(now_ms, burst * INITIAL_LEVEL_SHARE)
            self._buckets[rule.name] = bucket
        bucket.refill(now_ms, rule.rate_per_s * share, burst)
        return bucket
