"""Exchanges digests with peers (gossip)."""

from collections.abc import Callable
import random

import gevent
import gevent.event

from lagoonbend.claims import KeyOwnership
from lagoonbend.clock import Clock
from lagoonbend.exceptions import PeerError
from lagoonbend.membership import FleetView
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry

MILLISECONDS_PER_SECOND = 1000
SAME_DOMAIN_PEERS = 2
"""Peers of the same failure domain that are contacted in a round."""
OTHER_DOMAIN_PEERS = 1
"""Peers of other failure domains that are contacted in a round."""


class PeerExchange:
    """Exchanges digests with a few peers in each round.

    Each round contacts random peers, most of them in the same failure
    domain, and the former owners of bare keys while a seat plan names them.
    A newer document or fleet list is then fetched from a peer that has it.
    The cost of a round does not grow with the size of the fleet.

    :param instance: name of this instance.
    :param failure_domain: failure domain of this instance.
    :param clock: clock of this instance.
    :param fleet: listed instances.
    :param ownership: owners of bare keys.
    :param peers: client for other instances.
    :param peer_registry: latest digests of peers.
    :param apply: called with a newer value of the platform: its name, its
        body and the address of the peer that it came from.
    :param confirm: called with the start time of a round in which a peer
        sent a digest.
    :param rng: source of random choices.
    :param heartbeat_ms: time between two rounds.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        clock: Clock,
        fleet: FleetView,
        ownership: KeyOwnership,
        peers: PeerClient,
        peer_registry: PeerRegistry,
        apply: Callable[[str, bytes, str], None],
        confirm: Callable[[int], None],
        rng: random.Random,
        *,
        heartbeat_ms: int,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._clock = clock
        self._fleet = fleet
        self._ownership = ownership
        self._peers = peers
        self._peer_registry = peer_registry
        self._apply = apply
        self._confirm = confirm
        self._rng = rng
        self._heartbeat_s = heartbeat_ms / MILLISECONDS_PER_SECOND
        self.joined = gevent.event.Event()

    def run(self) -> None:
        """Run rounds of exchanges until the greenlet is killed."""
        while True:
            self.run_round()
            if self._fleet.age_ms is not None:
                self.joined.set()
            gevent.sleep(self._heartbeat_s)

    def run_round(self) -> None:
        """Exchange digests once and fetch newer values."""
        started_ms = self._clock.now_ms()
        addresses = self._choose_addresses()
        gevent.joinall(
            [gevent.spawn(self._exchange_digests, a) for a in addresses]
        )
        self._fetch(
            'document', self._peer_registry.find_peer_with_newer_part()
        )
        self._fetch('fleet', self._peer_registry.find_peer_with_newer_fleet())
        if self._peer_registry.has_digest_since(started_ms):
            self._confirm(started_ms)

    def _choose_addresses(self) -> set[str]:
        same_domain: list[str] = []
        other_domains: list[str] = []
        for peer in self._fleet.current.peers:
            if peer.instance == self._instance:
                continue
            is_same_domain = peer.failure_domain == self._failure_domain
            (same_domain if is_same_domain else other_domains).append(
                peer.address
            )
        chosen = self._rng.sample(
            same_domain, min(SAME_DOMAIN_PEERS, len(same_domain))
        )
        chosen += self._rng.sample(
            other_domains,
            min(OTHER_DOMAIN_PEERS, len(other_domains)),
        )
        return {*chosen, *self._ownership.list_former_owners()}

    def _exchange_digests(self, address: str) -> None:
        asked_ms = self._clock.now_ms()
        try:
            digest = self._peers.exchange(
                address, self._peer_registry.write_request_digest()
            )
        except PeerError:
            return
        self._peer_registry.record_reply(digest, asked_ms)

    def _fetch(self, value: str, address: str | None) -> None:
        if address is None:
            return
        try:
            body = self._peers.fetch_value(address, value)
            if body:
                self._apply(value, body, address)
        except PeerError:
            return
