"""An instance's own part of a fleet-wide bound on repeats."""

import collections

from lagoonbend._internal.utils.clock import Clock

RATIO_SHARE = 0.8
SLACK_SHARE = 0.8
"""Parts of the operators' ratio and slack that are used; what a window at
an instance and one at the judge's side see differs at the edges."""
MILLISECONDS_PER_SECOND = 1000


class RetryShare:
    """Repeats that an instance may send to one service.

    In each window an instance sends at most ``ratio`` of its own requests
    again, and its part of the slack. Since every instance keeps to that, the
    sum over all keeps to the bound without a word between them, in any cut.

    :param clock: clock of the instance.
    :param ratio: repeats for each request.
    :param slack: repeats in a window over all instances.
    :param window_s: length of a window in seconds.
    """

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window_s: float
    ) -> None:
        self._clock = clock
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_ms = window_s * MILLISECONDS_PER_SECOND
        self._requests: collections.deque[int] = collections.deque()
        self._repeats: collections.deque[int] = collections.deque()
        self.instance_count = 1

    def record_request(self) -> None:
        """Note a request of a caller."""
        self._requests.append(self._expire())

    def spend(self) -> bool:
        """Take the right to one repeat; return False if there is none."""
        now_ms = self._expire()
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, self.instance_count)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self) -> int:
        now_ms = self._clock.now_ms()
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
        return now_ms
