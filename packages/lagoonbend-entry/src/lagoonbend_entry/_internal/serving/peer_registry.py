"""State received from peers, and state that is sent to them."""

from collections.abc import Iterator
from typing import NamedTuple

from lagoonbend.claims import KeyOwnership
from lagoonbend.clock import Clock
from lagoonbend.configuration import PartStore
from lagoonbend.limits import LimitOwner
from lagoonbend.membership import FleetView
from lagoonbend.routing import LoadReport
from lagoonbend.routing import TargetTable
from lagoonbend_entry._internal.models.aged_load import AgedLoad
from lagoonbend_entry._internal.models.digest import Digest

MAX_LOADS_PER_DIGEST = 120


class ReceivedDigest(NamedTuple):
    """The latest digest of a peer.

    :param digest: the digest, without its loads.
    :param received_ms: time of receipt, on this instance's clock.
    """

    digest: Digest
    received_ms: int


class PeerRegistry:
    """Stores the latest digest of each peer, and answers peers' requests.

    :param instance: name of this instance.
    :param address: address of this instance's peer listener.
    :param failure_domain: failure domain of this instance.
    :param clock: clock of this instance.
    :param store: holds the active document part.
    :param fleet: holds the current list of instances and targets.
    :param ownership: owners of bare keys.
    :param table: targets and their reported loads.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        failure_domain: str,
        clock: Clock,
        store: PartStore,
        fleet: FleetView,
        ownership: KeyOwnership,
        table: TargetTable,
    ) -> None:
        self._instance = instance
        self._address = address
        self._failure_domain = failure_domain
        self._clock = clock
        self._store = store
        self._fleet = fleet
        self._ownership = ownership
        self._table = table
        self._limits = LimitOwner(clock)
        self._values: dict[str, bytes] = {}
        self.latest_digests: dict[str, ReceivedDigest] = {}

    def write_digest(self) -> Digest:
        """Return the digest that answers a peer's request."""
        loads = tuple(self._list_loads())[:MAX_LOADS_PER_DIGEST]
        return self.write_request_digest()._replace(loads=loads)

    def write_request_digest(self) -> Digest:
        """Return the digest that is sent with a request to a peer.

        Only replies contain loads, which halves the bytes of a round.
        """
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
        """Record the digest of a peer's request; return the reply."""
        self._record_digest(digest)
        return self.write_digest()

    def record_reply(self, digest: Digest, asked_ms: int) -> None:
        """Record a peer's reply to a request sent at ``asked_ms``."""
        self._record_digest(digest)
        if digest.partner == self._store.partner:
            self._ownership.record_epoch(
                digest.address, digest.seat_epoch, asked_ms
            )

    def store_value(self, value: str, body: bytes) -> None:
        """Store a value of the platform, for peers that fetch it."""
        self._values[value] = body

    def fetch_value(self, value: str) -> bytes:
        """Return a stored value of the platform; empty if unknown."""
        return self._values.get(value, b'')

    def report_demand(
        self, instance: str, demands: dict[str, float]
    ) -> dict[str, float]:
        """Record a peer's demand; return its shares of the limits."""
        instances = len(self._fleet.current.peers)
        return self._limits.report(instance, demands, instances)

    def has_digest_since(self, since_ms: int) -> bool:
        """Return True if a digest was received at ``since_ms`` or later."""
        return any(
            received.received_ms >= since_ms
            for received in self.latest_digests.values()
        )

    def find_peer_with_newer_part(self) -> str | None:
        """Return the address of a peer with a newer document part, or None."""
        order = self._store.order
        for received in self.latest_digests.values():
            digest = received.digest
            if digest.partner != self._store.partner:
                continue
            if (digest.part_revision, digest.part_digest) > order:
                return digest.address
        return None

    def find_peer_with_newer_fleet(self) -> str | None:
        """Return the address of a peer with a newer fleet list, or None."""
        revision = self._fleet.current.revision
        for received in self.latest_digests.values():
            if received.digest.fleet_revision > revision:
                return received.digest.address
        return None

    def _record_digest(self, digest: Digest) -> None:
        now_ms = self._clock.now_ms()
        without_loads = digest._replace(loads=())
        self.latest_digests[digest.instance] = ReceivedDigest(
            without_loads, now_ms
        )
        loads = {load.target: load for load in digest.loads}
        for state in self._table:
            load = loads.get(state.target.target)
            if load is None:
                continue
            measured_ms = now_ms - load.age_ms
            if state.report and state.report.measured_ms >= measured_ms:
                continue
            state.report = LoadReport(
                load.target, load.running, load.waiting_tokens, measured_ms
            )

    def _list_loads(self) -> Iterator[AgedLoad]:
        """Yield current loads, those of this failure domain first."""
        now_ms = self._clock.now_ms()
        states = sorted(
            self._table,
            key=lambda s: s.target.failure_domain != self._failure_domain,
        )
        for state in states:
            report = state.report
            if report is None or not state.is_reported(now_ms):
                continue
            yield AgedLoad(
                report.target,
                report.running,
                report.waiting_tokens,
                now_ms - report.measured_ms,
            )
