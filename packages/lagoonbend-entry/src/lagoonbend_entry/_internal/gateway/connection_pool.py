"""Kept connections to targets."""

import collections

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.gateway import target_connection

IDLE_LIMIT_MS = 4_000
"""Idle time after which a kept connection is closed; below the idle
time-outs that targets tell."""
FRESH_IDLE_MS = 200
"""Idle time up to which a kept connection may carry a request that must not
run twice: the target could close it as the request is on its way, and then
nobody knows whether it ran. Targets may forget connections after 300 ms."""
CONNECT_TIMEOUT_MS = 400
"""Time to connect; a round trip between failure domains takes 2 to 3 ms,
a lost packet is sent again after about 200 ms."""
GREATEST_KEPT = 16
"""Kept connections to one target; more than an engine runs at once."""


class ConnectionPool:
    """Hands out connections, kept ones first.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: dict[
            tuple[str, int],
            collections.deque[target_connection.TargetConnection],
        ] = {}
        self.opened_count = 0

    def take(
        self, address: tuple[str, int], *, may_repeat: bool
    ) -> target_connection.TargetConnection:
        """Return a connection that nothing has been sent on since its use.

        :param may_repeat: True if the request may be sent again.
        :raises NotConnectedError: if a new one can't be opened.
        """
        now_ms = self._clock.now_ms()
        limit_ms = IDLE_LIMIT_MS if may_repeat else FRESH_IDLE_MS
        kept = self._kept.get(address)
        while kept:
            connection = kept.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < limit_ms and connection.is_quiet():
                return connection
            connection.close()
        self.opened_count += 1
        return target_connection.TargetConnection.connect(
            address, CONNECT_TIMEOUT_MS
        )

    def give_back(
        self, connection: target_connection.TargetConnection
    ) -> None:
        """Keep a connection for another request, if it is sound."""
        kept = self._kept.setdefault(connection.address, collections.deque())
        if not connection.is_reusable or len(kept) >= GREATEST_KEPT:
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        kept.append(connection)

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now_ms = self._clock.now_ms()
        for address, kept in list(self._kept.items()):
            while kept and now_ms - kept[0].idle_since_ms >= IDLE_LIMIT_MS:
                kept.popleft().close()
            if not kept:
                del self._kept[address]
