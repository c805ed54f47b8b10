"""Finds out when targets can be reached again."""

from collections.abc import Callable
import itertools

import gevent

from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.reachability import Reachability
from lagoonbend_entry._internal.gateway.target_error import NotConnectedError

INTERVAL_S = 1.0
"""Time between two probes of a service, whose calls peers run meanwhile."""
TIMEOUT_MS = 400
"""Time for a connection, as for those of calls."""

Connect = Callable[[tuple[str, int], int], target_connection.TargetConnection]


class LinkProbe:
    """Tries a connection to a target of each service that isn't reached.

    :param reachability: which services are not reached.
    :param facts: target list as last read.
    :param connect: opens a connection to an address within a time in
        milliseconds.
    """

    def __init__(
        self, reachability: Reachability, facts: FactsCache, connect: Connect
    ) -> None:
        self._reachability = reachability
        self._facts = facts
        self._connect = connect
        self._numbers = itertools.count()

    def run(self) -> None:
        """Wait, then try one target of each such service."""
        gevent.sleep(INTERVAL_S)
        for service in self._reachability.unreached_services:
            self._probe(service)

    def _probe(self, service: str) -> None:
        targets = self._facts.target_directory.list_service(service)
        if not targets:
            return
        target = targets[next(self._numbers) % len(targets)]
        try:
            connection = self._connect((target.ip, target.port), TIMEOUT_MS)
        except NotConnectedError:
            return
        connection.close()
        self._reachability.record_reached(target)
