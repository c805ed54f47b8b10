"""Customers' limits, counted in units over all instances."""

from collections.abc import Mapping

from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.limits.debt_bucket import DebtBucket

START_LEVEL = 0.3
"""Part of the burst that a customer has at an instance that has just
started, which doesn't know what was used before."""


class SharedLimits:
    """Limits of customers at an instance that gives places.

    Instances tell each other what they have let through. ``share`` is the
    part of each limit that may be used here: 1 while all known instances
    are reached, the part of those reached in a cut, so that both sides
    together stay within the limit.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._buckets: dict[str, DebtBucket] = {}
        self._used: dict[str, float] = {}
        self._heard: dict[tuple[str, str], float] = {}

    def find_wait_ms(self, rule: CustomerRule, now_ms: int) -> int:
        """Return 0 if a call may pass, or when to come back in ms."""
        if not rule.rate_per_s:
            return 0
        return self._refill(rule, now_ms).find_wait_ms(
            rule.rate_per_s * self.share
        )

    def charge(self, rule: CustomerRule, units: float, now_ms: int) -> None:
        """Count a call that passes."""
        if not rule.rate_per_s:
            return
        self._refill(rule, now_ms).spend(units)
        self._used[rule.name] = self._used.get(rule.name, 0.0) + units

    def list_used(self) -> Mapping[str, float]:
        """Return the units let through here since the start."""
        return self._used

    def note_used(self, incarnation: str, used: Mapping[str, float]) -> None:
        """Take in what another instance has let through since its start.

        :param incarnation: identity of one life of that instance.
        """
        for customer, total in used.items():
            key = (incarnation, customer)
            before = self._heard.get(key)
            self._heard[key] = total
            bucket = self._buckets.get(customer)
            if bucket is not None and before is not None:
                bucket.spend(max(0.0, total - before))

    def _refill(self, rule: CustomerRule, now_ms: int) -> DebtBucket:
        burst = max(rule.burst, rule.rate_per_s) * self.share
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            bucket = DebtBucket(now_ms, burst * START_LEVEL)
            self._buckets[rule.name] = bucket
        bucket.refill(now_ms, rule.rate_per_s * self.share, burst)
        return bucket
