"""An instance's share of the fleet-wide retry budget."""

import collections

from lagoonbend._internal.utils.clock import Clock

USED_RATIO_SHARE = 0.8
USED_SLACK_SHARE = 0.8
"""Shares of the configured ratio and slack that are used. The rest allows
for the difference between the window of an instance and one measured
outside of it, which don't begin and end at the same time."""
MILLISECONDS_PER_SECOND = 1000


class RetryShare:
    """Retry budget of one instance for one service.

    In each window, an instance retries at most ``ratio`` of its own requests,
    plus its share of the slack. Since every instance keeps to its own budget,
    the sum over all instances stays within the fleet-wide bound without
    communication, also during a network partition.

    :param clock: clock of the instance.
    :param ratio: retries per request.
    :param slack: additional retries in a window, over all instances.
    :param window_s: length of the window in seconds.
    """

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window_s: float
    ) -> None:
        self._clock = clock
        self._ratio = ratio * USED_RATIO_SHARE
        self._slack = slack * USED_SLACK_SHARE
        self._window_ms = window_s * MILLISECONDS_PER_SECOND
        self._requests: collections.deque[int] = collections.deque()
        self._retries: collections.deque[int] = collections.deque()
        self.instance_count = 1

    def record_request(self) -> None:
        """Record a request of a caller."""
        self._requests.append(self._expire())

    def can_spend(self) -> bool:
        """Return True if the budget permits a retry now."""
        self._expire()
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, self.instance_count)
        return len(self._retries) + 1 <= allowed

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        if not self.can_spend():
            return False
        self._retries.append(self._clock.now_ms())
        return True

    def pay_back(self) -> None:
        """Give back the newest retry, which reached no target."""
        if self._retries:
            self._retries.pop()

    def _expire(self) -> int:
        now_ms = self._clock.now_ms()
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
        return now_ms
