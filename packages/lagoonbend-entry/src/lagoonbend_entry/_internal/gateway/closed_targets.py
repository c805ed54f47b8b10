"""Targets to which this instance sends no requests."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import gevent

from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.gateway.target_closure import TargetClosure
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MAX_CLOSURES = 4_096
"""Targets kept at most, the oldest of which are dropped; several times the
600 targets of the largest fleet, since most restarts bring a new identity."""
MILLISECONDS_PER_SECOND = 1000


class ClosedTargets:
    """Keeps which targets have said in their answers that they leave.

    That holds for one life of a target, whatever the platform lists. Targets
    that have asked for a pause are closed as well, until it ends. The
    callbacks in ``on_closed`` run when a target is closed, those in
    ``on_opened`` when its pause has ended.

    :param pauses: pauses that targets have asked for.
    """

    def __init__(self, pauses: TargetPauses) -> None:
        self.pauses = pauses
        self.on_closed: list[Callable[[ListedTarget], None]] = []
        self.on_opened: list[Callable[[ListedTarget], None]] = []
        self._closures: dict[str, TargetClosure] = {}

    def __len__(self) -> int:
        return len(self._closures)

    def record_leaving(self, target: ListedTarget) -> bool:
        """Record that a target leaves; return False if that was known.

        :param target: target as listed when the request was sent.
        """
        known = self._closures.get(target.target)
        if known is not None and known.covers(target):
            return False
        self._closures.pop(target.target, None)
        self._closures[target.target] = TargetClosure(target)
        if len(self._closures) > MAX_CLOSURES:
            del self._closures[next(iter(self._closures))]
        log_event(
            Event.TARGET_LEAVING,
            target=target.target,
            service=target.service,
            address=f'{target.ip}:{target.port}',
            born_ms=target.born_ms,
            closed_targets=len(self._closures),
        )
        self._notify(target)
        return True

    def record_pause(self, target: ListedTarget, pause_ms: int) -> None:
        """Record that a target asks for a pause.

        :param target: target as listed when the request was sent.
        """
        if self.pauses.record(target, pause_ms):
            gevent.spawn(self._await_end, target)
            self._notify(target)

    def is_closed(self, target: ListedTarget) -> bool:
        """Return True if the target gets no request now."""
        return self.is_leaving(target) or self.pauses.find_left_ms(target) > 0

    def is_leaving(self, target: ListedTarget) -> bool:
        """Return True if the target gets no request in its life."""
        closure = self._closures.get(target.target)
        return closure is not None and closure.covers(target)

    def list_closed(self, targets: Iterable[ListedTarget]) -> Iterator[str]:
        """Yield the identities of those targets that get no request now."""
        if self._closures or self.pauses:
            for target in targets:
                if self.is_closed(target):
                    yield target.target

    def _await_end(self, target: ListedTarget) -> None:
        while left_ms := self.pauses.find_left_ms(target):
            gevent.sleep(left_ms / MILLISECONDS_PER_SECOND)
        self.pauses.drop_ended()
        if not self.is_leaving(target):
            for notify in self.on_opened:
                notify(target)

    def _notify(self, target: ListedTarget) -> None:
        for notify in self.on_closed:
            notify(target)
