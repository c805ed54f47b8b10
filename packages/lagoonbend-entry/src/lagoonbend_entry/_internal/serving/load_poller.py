"""Polls engines for their load."""

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.clock import Clock
from lagoonbend.membership import choose_by_rendezvous
from lagoonbend.membership import FleetView
from lagoonbend.routing import LoadReport
from lagoonbend.routing import TargetState
from lagoonbend.routing import TargetTable
from lagoonbend_entry._internal.models.load_body import LoadBody

LOAD_PATH = '/load'
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0


class LoadPoller:
    """Polls the engines that are assigned to this instance.

    Each engine is polled by one instance of its failure domain, chosen by
    rendezvous hashing over the listed instances. Other instances get the
    reports from exchanges of digests.

    :param instance: name of this instance.
    :param failure_domain: failure domain of this instance.
    :param clock: clock of this instance.
    :param fleet: listed instances.
    :param table: targets; stores the reports.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        clock: Clock,
        fleet: FleetView,
        table: TargetTable,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._clock = clock
        self._fleet = fleet
        self._table = table

    def run(self) -> None:
        """Poll until the greenlet is killed."""
        while True:
            states = [s for s in self._table if self._is_polled_here(s)]
            gevent.joinall([gevent.spawn(self._poll, s) for s in states])
            gevent.sleep(POLL_INTERVAL_S)

    def _is_polled_here(self, state: TargetState) -> bool:
        target = state.target
        if target.kind != 'engine':
            return False
        if target.failure_domain != self._failure_domain:
            return False
        same_domain = [
            peer.instance
            for peer in self._fleet.current.peers
            if peer.failure_domain == self._failure_domain and not peer.leaving
        ]
        owner = choose_by_rendezvous(same_domain, target.target)
        return owner in (None, self._instance)

    def _poll(self, state: TargetState) -> None:
        asked_ms = self._clock.now_ms()
        client = HTTPClient(
            state.target.ip,
            state.target.port,
            connection_timeout=POLL_TIMEOUT_S,
            network_timeout=POLL_TIMEOUT_S,
        )
        try:
            body = bytes(client.get(LOAD_PATH).read())
            load = msgspec.json.decode(body, type=LoadBody)
        except (OSError, HTTPParseError, msgspec.MsgspecError):
            return
        finally:
            client.close()
        state.report = LoadReport(
            state.target.target,
            load['running'],
            load['waiting_tokens'],
            asked_ms,
        )
