"""Enforces customers' rate limits, shared with other instances."""

import collections

import gevent

from lagoonbend.attempts import refusals
from lagoonbend.clock import Clock
from lagoonbend.configuration import CustomerEntry
from lagoonbend.exceptions import PeerError
from lagoonbend.limits import CustomerLimit
from lagoonbend.limits import CustomerLimiter
from lagoonbend.membership import choose_by_rendezvous
from lagoonbend.membership import FleetView
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry

REPORT_INTERVAL_S = 1.0


class LimitSharer:
    """Enforces this instance's shares of the customers' rate limits.

    The demand of customers close to their share is reported once a second
    to the instance that owns the limit, which replies with new shares. The
    owner is found by rendezvous hashing over the listed instances.

    :param instance: name of this instance.
    :param clock: clock of this instance.
    :param fleet: listed instances.
    :param peers: client for other instances.
    :param peer_registry: divides the limits that this instance owns.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        fleet: FleetView,
        peers: PeerClient,
        peer_registry: PeerRegistry,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._fleet = fleet
        self._peers = peers
        self._peer_registry = peer_registry
        self._limiter = CustomerLimiter(clock)

    def take(self, customer: CustomerEntry) -> None:
        """Count one request against a customer's limit.

        :raises RefusedError: if the limit is exhausted.
        """
        rate_per_s = customer.get('rate_per_s')
        if rate_per_s is None:
            return
        name = customer['name']
        burst = customer.get('burst', max(1, int(rate_per_s)))
        limit = CustomerLimit(rate_per_s, burst)
        retry_after_ms = self._limiter.take(name, limit)
        if retry_after_ms:
            raise refusals.refuse_over_limit(retry_after_ms)

    def run(self) -> None:
        """Report demands at a fixed interval until the greenlet is killed."""
        while True:
            self._limiter.instance_count = max(
                1, len(self._fleet.current.peers)
            )
            for owner, demands in self._group_demands().items():
                gevent.spawn(self._report_demands, owner, demands)
            gevent.sleep(REPORT_INTERVAL_S)

    def _group_demands(self) -> dict[str, dict[str, float]]:
        """Return the demand of each customer, grouped by the limit's owner."""
        names = [peer.instance for peer in self._fleet.current.peers]
        groups: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for customer, demand in self._limiter.list_demands().items():
            owner = choose_by_rendezvous(names, customer)
            if owner is not None:
                groups[owner][customer] = demand
        return groups

    def _report_demands(self, owner: str, demands: dict[str, float]) -> None:
        asked_ms = self._clock.now_ms()
        try:
            shares = self._request_shares(owner, demands)
        except PeerError:
            return
        for customer, share in shares.items():
            self._limiter.apply_share(customer, share, asked_ms)

    def _request_shares(
        self, owner: str, demands: dict[str, float]
    ) -> dict[str, float]:
        if owner == self._instance:
            return self._peer_registry.report_demand(self._instance, demands)
        peer = self._fleet.find_peer(owner)
        if peer is None:
            raise PeerError(
                'the instance is not listed', context=f'instance {owner}'
            )
        return self._peers.report_demand(peer.address, self._instance, demands)
