"""Pool of persistent connections to targets."""

import collections

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.gateway import target_connection

MAX_IDLE_MS = 4_000
"""Idle time after which a connection is closed; shorter than the idle timeouts
that targets announce."""
MAX_IDLE_UNREPEATABLE_MS = 200
"""Idle time up to which a connection is reused for a request that must not run
twice. If the target closed the connection while the request is on its way,
it would be unknown whether the request ran. Targets may drop idle connections
without notice after 300 ms."""
CONNECT_TIMEOUT_MS = 400
"""A round trip between failure domains takes 2 to 3 ms; a lost packet is
retransmitted after about 200 ms."""
MAX_IDLE_PER_TARGET = 16
"""Idle connections to one target; more than an engine runs calls at once."""


class ConnectionPool:
    """Provides connections to targets and reuses idle ones.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_connections: dict[
            tuple[str, int],
            collections.deque[target_connection.TargetConnection],
        ] = {}
        self.opened_count = 0

    def acquire(
        self, address: tuple[str, int], *, may_repeat: bool
    ) -> target_connection.TargetConnection:
        """Return an idle connection or open a new one.

        :param may_repeat: True if the request may run more than once.
        :raises NotConnectedError: if a new one can't be opened.
        """
        now_ms = self._clock.now_ms()
        max_idle_ms = MAX_IDLE_MS if may_repeat else MAX_IDLE_UNREPEATABLE_MS
        idle = self._idle_connections.get(address)
        while idle:
            connection = idle.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < max_idle_ms and connection.is_quiet():
                return connection
            connection.close()
        self.opened_count += 1
        return target_connection.TargetConnection.connect(
            address, CONNECT_TIMEOUT_MS
        )

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Keep a connection for another request if it is reusable."""
        idle = self._idle_connections.setdefault(
            connection.address, collections.deque()
        )
        if not connection.is_reusable or len(idle) >= MAX_IDLE_PER_TARGET:
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_connections.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        for address, idle in list(self._idle_connections.items()):
            while idle and now_ms - idle[0].idle_since_ms >= MAX_IDLE_MS:
                idle.popleft().close()
            if not idle:
                del self._idle_connections[address]
