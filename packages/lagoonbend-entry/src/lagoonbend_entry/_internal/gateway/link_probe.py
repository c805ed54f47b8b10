"""Finds out whether targets can be reached."""

from collections.abc import Callable
from collections.abc import Iterable
import random

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.reachability import Reachability
from lagoonbend_entry._internal.gateway.target_error import NotConnectedError
from lagoonbend_entry._internal.utils.guarded_loop import log_failure

INTERVAL_MS = 1_000
"""Time between two probes of a service, whose calls peers run meanwhile."""
POLL_S = 0.25
"""Interval at which calls are looked for that wait for an answer."""
TIMEOUT_MS = 400
"""Time for a connection, as for those of calls."""
CHECKED_TARGETS = 2
"""Targets to which connections are opened to check the links of a service."""

Connect = Callable[[tuple[str, int], int], target_connection.TargetConnection]


class LinkProbe:
    """Tries connections to targets of services that may not be reached.

    A service in doubt is checked at once, and one that isn't reached once a
    second. If one service isn't reached, all others are in doubt.

    :param reachability: which services are not reached.
    :param facts: target list as last read.
    :param clock: clock of the instance.
    :param connect: opens a connection to an address within a time in
        milliseconds.
    :param find_silent: returns the services whose targets are silent, and
        since when.
    """

    def __init__(
        self,
        reachability: Reachability,
        facts: FactsCache,
        clock: Clock,
        connect: Connect,
        find_silent: Callable[[], Iterable[tuple[str, int]]],
    ) -> None:
        self._reachability = reachability
        self._facts = facts
        self._clock = clock
        self._connect = connect
        self._find_silent = find_silent
        self._random_source = random.Random()
        self._unreached: set[str] = set()
        self._probed_ms = 0
        self._is_due = gevent.event.Event()
        reachability.on_doubt = self._is_due.set

    def run(self) -> None:
        """Wait, then begin the checks and probes that are due."""
        self._is_due.wait(POLL_S)
        self._is_due.clear()
        self.begin_due()

    def begin_due(self) -> list[gevent.Greenlet]:
        """Begin the checks and probes that are due, and return them."""
        for service, since_ms in self._find_silent():
            self._reachability.doubt(service, since_ms)
        self._doubt_others()
        greenlets = [
            gevent.spawn(self._check, service, CHECKED_TARGETS)
            for service in self._reachability.take_due_checks()
        ]
        now_ms = self._clock.now_ms()
        if now_ms - self._probed_ms >= INTERVAL_MS:
            self._probed_ms = now_ms
            greenlets.extend(
                gevent.spawn(self._check, service, 1)
                for service in self._reachability.unreached_services
            )
        return greenlets

    def _doubt_others(self) -> None:
        """Doubt all services once one of them isn't reached any more."""
        unreached = set(self._reachability.unreached_services)
        new = unreached - self._unreached
        self._unreached = unreached
        if new and self._facts.rules is not None:
            needs_answer = any(map(self._reachability.needs_answer, new))
            for service in self._facts.rules.services:
                self._reachability.doubt(
                    service, self._clock.now_ms(), needs_answer=needs_answer
                )

    def _check(self, service: str, count: int) -> None:
        try:
            self._try_targets(service, count)
        except Exception as error:
            log_failure('link check', error)
        finally:
            self._reachability.end_check(service)

    def _try_targets(self, service: str, count: int) -> None:
        """Connect to some targets at once, and record the result.

        Targets to which a connection has just failed come last.
        """
        targets = self._facts.target_directory.list_service(service)
        failed = self._reachability.list_failed(service)
        chosen = sorted(
            self._random_source.sample(targets, len(targets)),
            key=lambda target: target.target in failed,
        )[:count]
        greenlets = [gevent.spawn(self._try_target, t) for t in chosen]
        gevent.joinall(greenlets)
        if not any(greenlet.value for greenlet in greenlets):
            for target in chosen:
                self._reachability.record_failed(target)

    def _try_target(self, target: ListedTarget) -> bool:
        """Return True if a target is reached."""
        try:
            connection = self._connect((target.ip, target.port), TIMEOUT_MS)
        except NotConnectedError:
            return False
        connected_ms = self._clock.now_ms()
        is_reached = True
        if self._reachability.needs_answer(target.service):
            is_reached = self._is_kept_open(connection, target.service)
        connection.close()
        if is_reached:
            self._reachability.record_reached(target, connected_ms)
        return is_reached

    def _is_kept_open(
        self, connection: target_connection.TargetConnection, service: str
    ) -> bool:
        """Return True if a target doesn't end a connection when asked.

        One that is busy may not answer in time.
        """
        rules = self._facts.rules
        profile = rules.services.get(service) if rules else None
        try:
            if profile is not None and profile.health_path:
                connection.send(
                    target_connection.encode_request(
                        'GET',
                        profile.health_path,
                        [('Host', '{}:{}'.format(*connection.address))],
                        b'',
                    ),
                    TIMEOUT_MS,
                )
            connection.read_head(TIMEOUT_MS)
        except target_error.ConnectionLostError:
            return False
        except (target_error.BadAnswerError, target_error.TargetTimeoutError):
            return True
        return True
