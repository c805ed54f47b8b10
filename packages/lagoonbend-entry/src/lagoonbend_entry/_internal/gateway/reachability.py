"""Notes of which services this instance reaches no target."""

from collections.abc import Callable

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MIN_FAILED_TARGETS = 2
"""Targets in a row that could not be reached, with none in between that could.
One alone may have ended."""


class Reachability:
    """Whether this instance reaches targets, by service.

    A service is unreached once connections to several of its targets, or to
    its only one, have failed and none has answered in between. The targets
    may be up all the same: the links of this instance may be cut.

    :param clock: clock of the instance.
    :param count_targets: returns the number of targets listed for a service.
    """

    def __init__(
        self, clock: Clock, count_targets: Callable[[str], int]
    ) -> None:
        self._clock = clock
        self._count_targets = count_targets
        self._failed: dict[str, dict[str, int]] = {}
        self._unreached_since_ms: dict[str, int] = {}

    @property
    def unreached_services(self) -> list[str]:
        """Services of which no target is reached."""
        return list(self._unreached_since_ms)

    def is_unreached(self, service: str) -> bool:
        """Return True if no target of a service is reached."""
        return service in self._unreached_since_ms

    def has_failed(self, service: str) -> bool:
        """Return True if the last connection to a target failed."""
        return bool(self._failed.get(service))

    def record_failed(self, target: ListedTarget) -> None:
        """Record that a connection to a target could not be opened."""
        service = target.service
        now_ms = self._clock.now_ms()
        failed = self._failed.setdefault(service, {})
        failed[target.target] = now_ms
        needed_count = min(MIN_FAILED_TARGETS, self._count_targets(service))
        if len(failed) < needed_count or self.is_unreached(service):
            return
        self._unreached_since_ms[service] = now_ms
        log_event(
            Event.SERVICE_UNREACHED,
            service=service,
            targets=list(failed),
            first_failed_ms=now_ms - min(failed.values()),
            listed=self._count_targets(service),
        )

    def record_reached(self, target: ListedTarget) -> None:
        """Record that a target has answered, or accepted a connection."""
        self._failed.pop(target.service, None)
        since_ms = self._unreached_since_ms.pop(target.service, None)
        if since_ms is not None:
            log_event(
                Event.SERVICE_REACHED,
                service=target.service,
                target=target.target,
                unreached_ms=self._clock.now_ms() - since_ms,
            )
