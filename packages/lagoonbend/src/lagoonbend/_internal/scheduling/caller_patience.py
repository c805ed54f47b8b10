"""Recognizes calls that are sent again, by the time that is left to them.

The load that this answers: in an overload, callers that have been refused send
their calls again, until half of all calls are older than their objective. If
each counts as new, most slots go to answers that are late.
"""

import collections

from lagoonbend._internal.scheduling.call_ages import register_call_age

WINDOW_CALLS = 256
"""Calls of a route from which the usual deadlines are learned."""
MIN_CALLS = 24
"""Calls from which on the median is known to a fifth of their spread."""
UPDATE_CALLS = 8
"""Calls after which the lowest usual deadline is computed anew."""
UPPER_QUANTILE = 0.95
"""Leaves out the few callers that wait for much longer than others."""
SPREAD_FACTOR = 1.5
"""Multiple of the spread above the median that deadlines of first sends may
be below it; more than 1, as the median is an estimate."""
MAX_ROUTES = 1_024
"""Routes kept at most, the oldest of which are dropped."""


class _RouteDeadlines:
    """Deadlines of the latest calls of a route.

    ``lowest_ms`` is the lowest one with which a call is sent first; 0 while
    it isn't known.
    """

    def __init__(self) -> None:
        self.lowest_ms = 0
        self._window: collections.deque[int] = collections.deque(
            maxlen=WINDOW_CALLS
        )
        self._new_count = 0

    def record(self, deadline_ms: int) -> None:
        """Add the deadline of a call."""
        self._window.append(deadline_ms)
        self._new_count += 1
        if self._new_count < UPDATE_CALLS or len(self._window) < MIN_CALLS:
            return
        self._new_count = 0
        ordered = sorted(self._window)
        median_ms = ordered[len(ordered) // 2]
        upper_ms = ordered[int(UPPER_QUANTILE * (len(ordered) - 1))]
        spread_ms = SPREAD_FACTOR * (upper_ms - median_ms)
        self.lowest_ms = max(0, int(median_ms - spread_ms))


@register_call_age('first_send')
class CallerPatience:
    """Counts a call from its first send.

    A caller that is refused sends its call again with what is left of its
    deadline. Deadlines of first sends spread about as far below their median
    as above it, and at most half of all calls are sent again. So a deadline
    further below is one of a call that is sent again, and the distance is the
    least time that its caller has waited.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDeadlines] = {}

    def estimate_waited_ms(self, route: str, deadline_ms: int | None) -> int:
        """Return how long a caller had waited, at least, when it sent a call.

        :returns: 0 for a first send, and while the usual deadlines of the
            route aren't known.
        """
        if deadline_ms is None:
            return 0
        deadlines = self._routes.get(route)
        if deadlines is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            deadlines = self._routes[route] = _RouteDeadlines()
        deadlines.record(deadline_ms)
        return max(0, deadlines.lowest_ms - deadline_ms)
