"""Notes of which services this instance reaches no target."""

from collections.abc import Callable

import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MIN_FAILED_TARGETS = 2
"""Targets in a row that could not be reached, with none in between that could.
One alone may have ended."""
PEER_DOUBT_MS = 500
"""Age from which a new connection to a target no longer proves the links, when
peers report that they don't reach the service or hand over calls of it."""
MILLISECONDS_PER_SECOND = 1000


class Reachability:
    """Whether this instance reaches targets, by service.

    A service is unreached once connections to several of its targets, or to
    its only one, have failed and none has been accepted in between. The
    targets may be up all the same: the links of this instance may be cut.

    Where connections are accepted and then reset, an answer is what shows that
    a target is reached.

    A service is in doubt from a sign that its links may be cut until they have
    been checked; ``on_doubt`` is called when a check is due.

    :param clock: clock of the instance.
    :param count_targets: returns the number of targets listed for a service.
    """

    def __init__(
        self, clock: Clock, count_targets: Callable[[str], int]
    ) -> None:
        self.on_doubt: Callable[[], None] = _ignore
        self._clock = clock
        self._count_targets = count_targets
        self._failed: dict[str, dict[str, int]] = {}
        self._unreached_since_ms: dict[str, int] = {}
        self._reached_ms: dict[str, int] = {}
        self._answer_needed: set[str] = set()
        self._due_checks: list[str] = []
        self._checks: dict[str, gevent.event.Event] = {}

    @property
    def unreached_services(self) -> list[str]:
        """Services of which no target is reached."""
        return list(self._unreached_since_ms)

    def is_unreached(self, service: str) -> bool:
        """Return True if no target of a service is reached."""
        return service in self._unreached_since_ms

    def find_unreached_since_ms(self, service: str) -> int | None:
        """Return since when no target is reached; None if one may be."""
        return self._unreached_since_ms.get(service)

    def is_doubtful(self, service: str) -> bool:
        """Return True if a service is unreached, or its links are checked."""
        return self.is_unreached(service) or service in self._checks

    def doubt(
        self, service: str, since_ms: int, *, needs_answer: bool = False
    ) -> None:
        """Request a check of the links to the targets of a service.

        :param since_ms: time of the sign that gave rise to the doubt; a
            connection that was accepted since makes a check unnecessary.
        :param needs_answer: True if an accepted connection proves nothing.
        """
        if (
            not self.is_doubtful(service)
            and self._reached_ms.get(service, since_ms - 1) < since_ms
        ):
            if needs_answer:
                self._answer_needed.add(service)
            self._checks[service] = gevent.event.Event()
            self._due_checks.append(service)
            self.on_doubt()

    def take_due_checks(self) -> list[str]:
        """Return the services to check; each is returned once."""
        due, self._due_checks = self._due_checks, []
        return due

    def end_check(self, service: str) -> None:
        """Record that the links to a service have been checked."""
        check = self._checks.pop(service, None)
        if check is not None:
            check.set()

    def wait_for_check(self, service: str, timeout_ms: int) -> None:
        """Wait until the links to a service have been checked."""
        check = self._checks.get(service)
        if check is not None:
            check.wait(timeout_ms / MILLISECONDS_PER_SECOND)

    def list_failed(self, service: str) -> list[str]:
        """Return the targets to which the last connections failed."""
        return list(self._failed.get(service, ()))

    def record_failed(self, target: ListedTarget) -> None:
        """Record that a connection to a target could not be opened."""
        service = target.service
        now_ms = self._clock.now_ms()
        failed = self._failed.setdefault(service, {})
        failed[target.target] = now_ms
        needed_count = min(MIN_FAILED_TARGETS, self._count_targets(service))
        if self.is_unreached(service):
            return
        if len(failed) < needed_count:
            self.doubt(service, now_ms)
            return
        self._unreached_since_ms[service] = now_ms
        log_event(
            Event.SERVICE_UNREACHED,
            service=service,
            targets=list(failed),
            first_failed_ms=now_ms - min(failed.values()),
            listed=self._count_targets(service),
        )
        self.on_doubt()

    def needs_answer(self, service: str) -> bool:
        """Return True if an accepted connection may be reset at once."""
        return service in self._answer_needed

    def record_reset(
        self, target: ListedTarget, *, has_ended: bool = False
    ) -> None:
        """Record that a new connection to a target was reset.

        :param has_ended: True if the target was the cause.
        """
        if has_ended:
            return
        self._answer_needed.add(target.service)
        self.record_failed(target)

    def record_reached(self, target: ListedTarget, connected_ms: int) -> None:
        """Record that a target has answered on a new connection.

        That it accepts one suffices unless some have been reset. An answer on
        one that was open before says nothing: new ones may fail all the same.

        :param connected_ms: when it did, which may be before a cut.
        """
        service = target.service
        self._reached_ms[service] = max(
            connected_ms, self._reached_ms.get(service, connected_ms)
        )
        failed = {
            name: failed_ms
            for name, failed_ms in self._failed.pop(service, {}).items()
            if failed_ms > connected_ms
        }
        if failed:
            self._failed[service] = failed
        else:
            self._answer_needed.discard(service)
        since_ms = self._unreached_since_ms.get(service)
        if since_ms is None or since_ms > connected_ms:
            return
        del self._unreached_since_ms[service]
        log_event(
            Event.SERVICE_REACHED,
            service=service,
            target=target.target,
            unreached_ms=self._clock.now_ms() - since_ms,
        )


def _ignore() -> None:
    """Do nothing while nobody checks links."""
