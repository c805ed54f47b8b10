"""Exchanges digests with peers."""

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
OTHER_DOMAIN_PEERS = 1


class PeerExchange:
    """Asks a few peers in each round, and fetches what one has newer.

    Each round asks random peers, most of the own domain, and the former
    owners of bare keys while a plan names them. The cost of a round does
    not grow with the fleet.

    :param instance: name of this instance.
    :param failure_domain: domain of this instance.
    :param clock: clock of this instance.
    :param fleet: list of instances.
    :param ownership: owners of bare keys.
    :param peers: client of other instances.
    :param book: what peers have told.
    :param apply: takes a value of the platform: its name, its body and the
        address of the peer that has it.
    :param confirm: called when peers asked at a time have answered.
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
        book: PeerRegistry,
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
        self._book = book
        self._apply = apply
        self._confirm = confirm
        self._rng = rng
        self._heartbeat_s = heartbeat_ms / MILLISECONDS_PER_SECOND
        self.joined = gevent.event.Event()

    def run(self) -> None:
        """Exchange until the greenlet is killed."""
        while True:
            self.run_round()
            if self._fleet.age_ms is not None:
                self.joined.set()
            gevent.sleep(self._heartbeat_s)

    def run_round(self) -> None:
        """Ask the peers of one round."""
        asked_ms = self._clock.now_ms()
        addresses = self._choose_addresses()
        gevent.joinall([gevent.spawn(self._ask, a) for a in addresses])
        self._fetch('document', self._book.find_newer_part())
        self._fetch('fleet', self._book.find_newer_fleet())
        if self._book.has_heard_since(asked_ms):
            self._confirm(asked_ms)

    def _choose_addresses(self) -> set[str]:
        near: list[str] = []
        far: list[str] = []
        for peer in self._fleet.current.peers:
            if peer.instance == self._instance:
                continue
            is_near = peer.failure_domain == self._failure_domain
            (near if is_near else far).append(peer.address)
        chosen = self._rng.sample(near, min(SAME_DOMAIN_PEERS, len(near)))
        chosen += self._rng.sample(far, min(OTHER_DOMAIN_PEERS, len(far)))
        return {*chosen, *self._ownership.list_former_owners()}

    def _ask(self, address: str) -> None:
        asked_ms = self._clock.now_ms()
        try:
            digest = self._peers.exchange(
                address, self._book.write_request_digest()
            )
        except PeerError:
            return
        self._book.record_reply(digest, asked_ms)

    def _fetch(self, value: str, address: str | None) -> None:
        if address is None:
            return
        try:
            body = self._peers.fetch_value(address, value)
            if body:
                self._apply(value, body, address)
        except PeerError:
            return
