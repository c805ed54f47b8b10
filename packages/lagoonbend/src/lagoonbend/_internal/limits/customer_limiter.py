"""Enforces an instance's share of the customers' rate limits."""

import math

from lagoonbend._internal.limits.customer_limit import CustomerLimit
from lagoonbend._internal.limits.token_bucket import TokenBucket
from lagoonbend._internal.utils.clock import Clock

DEMAND_DECAY_MS = 5_000
"""Time constant of the exponential decay of the demand."""
SHARE_TTL_MS = 5_000
"""Time for which an assigned share is used, from the request for it."""
MIN_DEMAND_PER_S = 0.01
"""Demand below which the state of a customer is discarded."""
MIN_BURST = 3.0
"""Minimum burst at one instance in requests, unless the customer's whole burst
is smaller."""
MILLISECONDS_PER_SECOND = 1000


class CustomerState:
    """State of one customer at an instance.

    :param now_ms: time of the first request.
    :param burst: this instance's share of the burst.
    """

    def __init__(self, now_ms: int, burst: float) -> None:
        self.bucket = TokenBucket(now_ms, burst)
        self.demand_per_s = 0.0
        self.updated_ms = now_ms
        self.share: float | None = None
        self.share_requested_ms = 0

    def decay(self, now_ms: int) -> None:
        """Decay the demand by the time since its last update."""
        span_ms = now_ms - self.updated_ms
        self.demand_per_s *= math.exp(-span_ms / DEMAND_DECAY_MS)
        self.updated_ms = now_ms


class CustomerLimiter:
    """Admits requests of customers at this instance.

    The instance has a share of each limit. The owner of the limit assigns it;
    if the owner has not answered for 5 s, the share is one divided by the
    number of listed instances.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, CustomerState] = {}
        self.instance_count = 1

    def __len__(self) -> int:
        return len(self._states)

    def take(self, customer: str, limit: CustomerLimit) -> int:
        """Take one request; return 0, or the milliseconds until a retry."""
        now_ms = self._clock.now_ms()
        state = self._states.get(customer)
        if state is None:
            burst = _compute_burst(limit, 1 / self.instance_count)
            state = CustomerState(now_ms, burst)
            self._states[customer] = state
        state.decay(now_ms)
        state.demand_per_s += MILLISECONDS_PER_SECOND / DEMAND_DECAY_MS
        share = self.find_share(customer)
        return state.bucket.take(
            now_ms, limit.rate_per_s * share, _compute_burst(limit, share)
        )

    def find_share(self, customer: str) -> float:
        """Return this instance's share of a customer's limit."""
        state = self._states.get(customer)
        now_ms = self._clock.now_ms()
        if state is None or state.share is None:
            return 1 / self.instance_count
        if now_ms - state.share_requested_ms >= SHARE_TTL_MS:
            return 1 / self.instance_count
        return state.share

    def list_demands(self) -> dict[str, float]:
        """Return the demands to report to the owners, in requests per second.

        They are of customers whose bucket was at most half full, or who have
        an assigned share already. Of many small customers, that is hardly any.
        """
        now_ms = self._clock.now_ms()
        for state in self._states.values():
            state.decay(now_ms)
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.demand_per_s >= MIN_DEMAND_PER_S
        }
        return {
            name: state.demand_per_s
            for name, state in self._states.items()
            if state.bucket.is_half_empty or state.share is not None
        }

    def apply_share(
        self, customer: str, share: float, requested_ms: int
    ) -> None:
        """Apply a share that the owner has assigned.

        :param requested_ms: when the request was sent to the owner, on this
            instance's clock.
        """
        state = self._states.get(customer)
        if state is not None:
            state.share = share
            state.share_requested_ms = requested_ms


def _compute_burst(limit: CustomerLimit, share: float) -> float:
    """Return the burst for a share.

    Requests of a small customer may arrive in clusters at one of many
    instances. The minimum prevents refusals while the customer is far below
    its limit.
    """
    return max(min(limit.burst, MIN_BURST), limit.burst * share)
