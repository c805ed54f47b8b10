"""Finds out which targets have ended when connections to them break."""

from collections.abc import Callable

import gevent

from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.lost_call import LostCall
from lagoonbend_entry._internal.gateway.target_error import NotConnectedError
from lagoonbend_entry._internal.gateway.target_error import TargetAbsentError
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

PROBE_DELAYS_S = (0.0, 0.1)
"""Times after which a connection is tried. A process that ends closes its
connections before its listener, or after it."""
PROBE_TIMEOUT_MS = 400
"""Time for a connection, as for those to peers."""

Connect = Callable[[tuple[str, int], int], target_connection.TargetConnection]


class EndedTargets:
    """Distinguishes a target that has ended from a connection that broke.

    A connection also breaks when a target closes an idle one, when it has too
    many of them, or on the way. Only a target whose address refuses a new
    connection right afterwards has ended. The callbacks in ``on_ended`` are
    called with the target and its calls.

    :param connect: opens a connection to an address within a time in
        milliseconds.
    :param count_ended: called with the service of each target that has ended.
    """

    def __init__(
        self, connect: Connect, count_ended: Callable[[str], None]
    ) -> None:
        self.on_ended: list[
            Callable[[ListedTarget, list[LostCall]], None]
        ] = []
        self._connect = connect
        self._count_ended = count_ended
        self._lost_calls: dict[ListedTarget, list[LostCall]] = {}
        self._checks: dict[ListedTarget, gevent.Greenlet] = {}

    def check(self, target: ListedTarget, call: LostCall) -> gevent.Greenlet:
        """Check a target, unless a check of it is under way.

        :param target: target as listed when the request was sent.
        :param call: call whose connection broke.
        :returns: the check, which a call may wait for; its value is True if
            the target has ended.
        """
        calls = self._lost_calls.setdefault(target, [])
        calls.append(call)
        if len(calls) == 1:
            self._checks[target] = gevent.spawn(self._check, target)
        return self._checks[target]

    def _check(self, target: ListedTarget) -> bool:
        try:
            has_ended = self._has_ended(target)
        finally:
            calls = self._lost_calls.pop(target)
            del self._checks[target]
        if not has_ended:
            return False
        self._count_ended(target.service)
        log_event(
            Event.TARGET_ENDED,
            target=target.target,
            service=target.service,
            address=f'{target.ip}:{target.port}',
            born_ms=target.born_ms,
            requests=[call.attempt for call in calls],
            blocks=sorted({name for call in calls for name in call.blocks}),
            fingerprints=sorted({call.fingerprint for call in calls}),
            run_ms=[call.lost_ms - call.sent_ms for call in calls],
        )
        for notify in self.on_ended:
            notify(target, calls)
        return True

    def _has_ended(self, target: ListedTarget) -> bool:
        """Return True if the address of a target refuses a connection."""
        for delay_s in PROBE_DELAYS_S:
            gevent.sleep(delay_s)
            try:
                connection = self._connect(
                    (target.ip, target.port), PROBE_TIMEOUT_MS
                )
            except TargetAbsentError:
                return True
            except NotConnectedError:
                # The target may be beyond a network partition.
                return False
            connection.close()
        return False
