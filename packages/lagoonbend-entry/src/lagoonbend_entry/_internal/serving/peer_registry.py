"""What peers have told, and what this instance tells them."""

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

GREATEST_LOADS = 120


class Heard(NamedTuple):
    """The latest word of a peer.

    :param digest: what it said.
    :param heard_ms: when, on this instance's clock.
    """

    digest: Digest
    heard_ms: int


class PeerRegistry:
    """Keeps the latest digest of each peer.

    :param instance: name of this instance.
    :param address: address of this instance's peer listener.
    :param failure_domain: domain of this instance.
    :param clock: clock of this instance.
    :param store: part in force here.
    :param fleet: list in force here.
    :param ownership: owners of bare keys.
    :param table: targets.
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
        self.heard: dict[str, Heard] = {}

    def write_digest(self) -> Digest:
        """Return what this instance answers a peer."""
        loads = tuple(self._list_loads())[:GREATEST_LOADS]
        return self.write_request_digest()._replace(loads=loads)

    def write_request_digest(self) -> Digest:
        """Return what this instance tells a peer when it asks.

        Loads travel in answers alone, which halves the bytes of a round.
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
        """Note what a peer tells when it asks; return one's own digest."""
        self._note(digest)
        return self.write_digest()

    def record_reply(self, digest: Digest, asked_ms: int) -> None:
        """Note a peer's answer to a question asked at ``asked_ms``."""
        self._note(digest)
        if digest.partner == self._store.partner:
            self._ownership.record_epoch(
                digest.address, digest.seat_epoch, asked_ms
            )

    def keep_value(self, value: str, body: bytes) -> None:
        """Keep a value of the platform, for peers that fetch it."""
        self._values[value] = body

    def fetch_value(self, value: str) -> bytes:
        """Return a value of the platform; empty if unknown."""
        return self._values.get(value, b'')

    def report_demand(
        self, instance: str, demands: dict[str, float]
    ) -> dict[str, float]:
        """Note a peer's demands; return its shares."""
        instances = len(self._fleet.current.peers)
        return self._limits.report(instance, demands, instances)

    def has_heard_since(self, since_ms: int) -> bool:
        """Return True if some peer was heard since then."""
        return any(h.heard_ms >= since_ms for h in self.heard.values())

    def find_newer_part(self) -> str | None:
        """Return the address of a peer whose part is newer than ours."""
        order = self._store.order
        for heard in self.heard.values():
            digest = heard.digest
            if digest.partner != self._store.partner:
                continue
            if (digest.part_revision, digest.part_digest) > order:
                return digest.address
        return None

    def find_newer_fleet(self) -> str | None:
        """Return the address of a peer whose list is newer than ours."""
        revision = self._fleet.current.revision
        for heard in self.heard.values():
            if heard.digest.fleet_revision > revision:
                return heard.digest.address
        return None

    def _note(self, digest: Digest) -> None:
        now_ms = self._clock.now_ms()
        bare = digest._replace(loads=())
        self.heard[digest.instance] = Heard(bare, now_ms)
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
        """Yield fresh loads, those of this domain first."""
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
