"""Builds the state dump of an instance."""

import collections

from lagoonbend.attempts import CallAttempt
from lagoonbend.clock import Clock
from lagoonbend.membership import Peer
from lagoonbend.routing import TargetState
from lagoonbend_entry._internal.models.dump import AttemptDump
from lagoonbend_entry._internal.models.dump import Dump
from lagoonbend_entry._internal.models.dump import PeerDump
from lagoonbend_entry._internal.models.dump import TargetDump
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.serving.components import Components
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry
from lagoonbend_entry._internal.settings import instance_settings


class DumpBuilder:
    """Collects the state of all components; the dump holds no secrets.

    :param settings: identity of the instance.
    :param clock: clock of the instance.
    :param components: scheduling and claim components.
    :param peer_registry: latest digests of peers.
    :param server: serves calls.
    """

    def __init__(
        self,
        settings: instance_settings.InstanceSettings,
        clock: Clock,
        components: Components,
        peer_registry: PeerRegistry,
        server: CallServer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._components = components
        self._peer_registry = peer_registry
        self._server = server
        self._started_ms = clock.now_ms()

    def build(self, state: str, platform_failures: int) -> Dump:
        """Return the current state."""
        components = self._components
        now_ms = self._clock.now_ms()
        revision, digest = components.store.order
        quarantined_ms = components.ownership.quarantined_until_ms - now_ms
        return Dump(
            instance=self._settings.name,
            incarnation=components.incarnation,
            partner=self._settings.partner,
            failure_domain=self._settings.failure_domain,
            state=state,
            uptime_ms=now_ms - self._started_ms,
            part_revision=revision,
            part_digest=digest,
            part_conflicts=sorted(components.store.conflicts),
            fleet_revision=components.fleet.current.revision,
            fleet_age_ms=components.fleet.age_ms,
            platform_failures=platform_failures,
            seat_epoch=components.ownership.epoch,
            bare_keys_quarantined_ms=max(quarantined_ms, 0),
            waiting=self.count_waiting(),
            attempts=[
                _dump_attempt(attempt, now_ms)
                for attempt in self._server.attempts.values()
            ],
            claims=len(components.ledger),
            targets=[
                _dump_target(state, now_ms) for state in components.table
            ],
            peers=[
                self._dump_peer(peer, now_ms)
                for peer in components.fleet.current.peers
            ],
            pauses=components.pauses.pauses,
            violations=dict(components.invariants.violations),
        )

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting calls of each tier."""
        return dict(
            collections.Counter(
                waiter.item.call.request_class.tier
                for waiter in self._components.queue
            )
        )

    def _dump_peer(self, peer: Peer, now_ms: int) -> PeerDump:
        received = self._peer_registry.latest_digests.get(peer.instance)
        return PeerDump(
            instance=peer.instance,
            address=peer.address,
            failure_domain=peer.failure_domain,
            leaving=peer.leaving,
            heard_age_ms=now_ms - received.received_ms if received else None,
            part_revision=received.digest.part_revision if received else None,
            part_digest=received.digest.part_digest if received else None,
        )


def _dump_attempt(attempt: CallAttempt, now_ms: int) -> AttemptDump:
    call = attempt.call
    return AttemptDump(
        attempt=call.attempt,
        tier=call.request_class.tier,
        target=attempt.target,
        verdict=attempt.verdict.value,
        age_ms=now_ms - call.received_ms,
    )


def _dump_target(state: TargetState, now_ms: int) -> TargetDump:
    report = state.report
    return TargetDump(
        target=state.target.target,
        kind=state.target.kind,
        failure_domain=state.target.failure_domain,
        leaving=state.target.leaving,
        outstanding=state.outstanding,
        outstanding_tokens=state.outstanding_tokens,
        tokens_per_s=round(state.tokens_per_s, 1),
        report_age_ms=now_ms - report.measured_ms if report else None,
    )
