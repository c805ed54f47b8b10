"""What peers have told, and what this instance tells them."""

from typing import NamedTuple

from lagoonbend.claims import SeatOwnership
from lagoonbend.clock import Clock
from lagoonbend.configuration import PartStore
from lagoonbend.membership import FleetView
from lagoonbend_entry._internal.models.digest import Digest


class Heard(NamedTuple):
    """The latest word of a peer.

    :param digest: what it said.
    :param heard_ms: when, on this instance's clock.
    """

    digest: Digest
    heard_ms: int


class PeerBook:
    """Keeps the latest digest of each peer.

    :param instance: name of this instance.
    :param address: address of this instance's peer listener.
    :param clock: clock of this instance.
    :param store: part in force here.
    :param fleet: list in force here.
    :param ownership: owners of bare keys.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        clock: Clock,
        store: PartStore,
        fleet: FleetView,
        ownership: SeatOwnership,
    ) -> None:
        self._instance = instance
        self._address = address
        self._clock = clock
        self._store = store
        self._fleet = fleet
        self._ownership = ownership
        self._document = b''
        self.heard: dict[str, Heard] = {}

    def write_digest(self) -> Digest:
        """Return what this instance tells its peers."""
        revision, digest = self._store.order
        return Digest(
            self._instance,
            self._address,
            self._store.partner,
            revision,
            digest,
            self._fleet.current.revision,
            self._ownership.epoch,
        )

    def exchange(self, digest: Digest) -> Digest:
        """Note what a peer tells when it asks; return one's own digest."""
        self._note(digest)
        return self.write_digest()

    def hear(self, digest: Digest, asked_ms: int) -> None:
        """Note a peer's answer to a question asked at ``asked_ms``."""
        self._note(digest)
        if digest.partner == self._store.partner:
            self._ownership.hear(digest.address, digest.seat_epoch, asked_ms)

    def _note(self, digest: Digest) -> None:
        self.heard[digest.instance] = Heard(digest, self._clock.now_ms())

    def keep_document(self, document: bytes) -> None:
        """Keep the document in force, for peers that fetch it."""
        self._document = document

    def fetch_part(self, partner: str) -> bytes:
        """Return the document with a partner's part; empty if unknown."""
        return self._document if partner == self._store.partner else b''

    def find_newer(self) -> str | None:
        """Return the address of a peer whose part is newer than ours."""
        order = self._store.order
        for heard in self.heard.values():
            digest = heard.digest
            if digest.partner != self._store.partner:
                continue
            if (digest.part_revision, digest.part_digest) > order:
                return digest.address
        return None
