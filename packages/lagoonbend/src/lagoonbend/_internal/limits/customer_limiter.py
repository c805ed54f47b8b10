"""An instance's part of the customers' limits."""

import math

from lagoonbend._internal.limits.customer_limit import CustomerLimit
from lagoonbend._internal.limits.token_bucket import TokenBucket
from lagoonbend._internal.utils.clock import Clock

DEMAND_MEMORY_MS = 5_000
SHARE_LIFE_MS = 5_000
LEAST_DEMAND_PER_S = 0.01
LEAST_BURST = 3.0
MILLISECONDS_PER_SECOND = 1000


class CustomerState:
    """What an instance knows of one customer.

    :param now_ms: time of the first request.
    :param burst: this instance's part of the burst.
    """

    def __init__(self, now_ms: int, burst: float) -> None:
        self.bucket = TokenBucket(now_ms, burst)
        self.demand_per_s = 0.0
        self.noted_ms = now_ms
        self.share: float | None = None
        self.share_ms = 0

    def decay(self, now_ms: int) -> None:
        """Let the demand fade with time."""
        span_ms = now_ms - self.noted_ms
        self.demand_per_s *= math.exp(-span_ms / DEMAND_MEMORY_MS)
        self.noted_ms = now_ms


class CustomerLimiter:
    """Lets requests of customers pass at this instance.

    The instance has a share of each limit: what the limit's owner gave it,
    or one of as many equal parts as instances are listed while the owner
    has not answered for 5 s.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, CustomerState] = {}
        self.instance_count = 1

    def __len__(self) -> int:
        return len(self._states)

    def take(self, customer: str, limit: CustomerLimit) -> int:
        """Take one request; return 0, or when to come back in ms."""
        now_ms = self._clock.now_ms()
        state = self._states.get(customer)
        if state is None:
            burst = _find_burst(limit, 1 / self.instance_count)
            state = CustomerState(now_ms, burst)
            self._states[customer] = state
        state.decay(now_ms)
        state.demand_per_s += MILLISECONDS_PER_SECOND / DEMAND_MEMORY_MS
        share = self.find_share(customer)
        return state.bucket.take(
            now_ms, limit.rate_per_s * share, _find_burst(limit, share)
        )

    def find_share(self, customer: str) -> float:
        """Return this instance's share of a customer's limit."""
        state = self._states.get(customer)
        now_ms = self._clock.now_ms()
        if state is None or state.share is None:
            return 1 / self.instance_count
        if now_ms - state.share_ms >= SHARE_LIFE_MS:
            return 1 / self.instance_count
        return state.share

    def list_demands(self) -> dict[str, float]:
        """Return the demand of customers that need a share of the owner.

        These are customers whose bucket was half empty, or who have a share
        already; of many small customers, hardly any. In requests a second.
        """
        now_ms = self._clock.now_ms()
        for state in self._states.values():
            state.decay(now_ms)
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.demand_per_s >= LEAST_DEMAND_PER_S
        }
        return {
            name: state.demand_per_s
            for name, state in self._states.items()
            if state.bucket.is_half_empty or state.share is not None
        }

    def apply_share(self, customer: str, share: float, asked_ms: int) -> None:
        """Take a share that the owner gave in answer to a question.

        :param asked_ms: when the owner was asked, on this clock.
        """
        state = self._states.get(customer)
        if state is not None:
            state.share = share
            state.share_ms = asked_ms


def _find_burst(limit: CustomerLimit, share: float) -> float:
    """Return the burst of a share.

    Requests of a small customer reach one of many instances in clusters; a
    floor keeps them from being refused although the limit is far.
    """
    return max(min(limit.burst, LEAST_BURST), limit.burst * share)
