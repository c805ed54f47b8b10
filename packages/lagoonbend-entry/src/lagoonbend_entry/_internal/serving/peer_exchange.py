"""Exchanges digests with peers."""

import gevent

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PeerError
from lagoonbend.membership import FleetView
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.serving.part_applier import PartApplier
from lagoonbend_entry._internal.serving.peer_book import PeerBook

MILLISECONDS_PER_SECOND = 1000


class PeerExchange:
    """Asks each peer in turn, and fetches what a peer has newer.

    :param instance: name of this instance.
    :param clock: clock of this instance.
    :param fleet: list of instances.
    :param peers: client of other instances.
    :param book: what peers have told.
    :param applier: puts documents into force.
    :param heartbeat_ms: time between two rounds.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        fleet: FleetView,
        peers: PeerClient,
        book: PeerBook,
        applier: PartApplier,
        *,
        heartbeat_ms: int,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._fleet = fleet
        self._peers = peers
        self._book = book
        self._applier = applier
        self._heartbeat_s = heartbeat_ms / MILLISECONDS_PER_SECOND

    def run(self) -> None:
        """Exchange until the greenlet is killed."""
        while True:
            addresses = [
                peer.address
                for peer in self._fleet.current.peers
                if peer.instance != self._instance
            ]
            gevent.joinall(
                [gevent.spawn(self._exchange, item) for item in addresses]
            )
            self._fetch_newer()
            gevent.sleep(self._heartbeat_s)

    def _exchange(self, address: str) -> None:
        asked_ms = self._clock.now_ms()
        try:
            digest = self._peers.exchange(address, self._book.write_digest())
        except PeerError:
            return
        self._book.hear(digest, asked_ms)

    def _fetch_newer(self) -> None:
        address = self._book.find_newer()
        if address is None:
            return
        partner = self._book.write_digest().partner
        try:
            document = self._peers.fetch_part(address, partner)
        except PeerError:
            return
        if document:
            self._applier.apply(document, f'peer {address}')
