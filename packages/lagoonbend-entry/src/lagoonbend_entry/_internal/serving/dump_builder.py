"""Builds the dump of an instance's state."""

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
from lagoonbend_entry._internal.serving.parts import Parts
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry
from lagoonbend_entry._internal.settings import instance_settings


class DumpBuilder:
    """Reads the state of all parts; the dump holds no secrets.

    :param settings: who the instance is.
    :param clock: clock of the instance.
    :param parts: decision parts.
    :param book: what peers have told.
    :param server: serves calls.
    """

    def __init__(
        self,
        settings: instance_settings.InstanceSettings,
        clock: Clock,
        parts: Parts,
        book: PeerRegistry,
        server: CallServer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._parts = parts
        self._book = book
        self._server = server
        self._started_ms = clock.now_ms()

    def build(self, state: str, platform_failures: int) -> Dump:
        """Return the state now."""
        parts = self._parts
        now_ms = self._clock.now_ms()
        revision, digest = parts.store.order
        quarantined_ms = parts.ownership.quarantined_until_ms - now_ms
        return Dump(
            instance=self._settings.name,
            incarnation=parts.incarnation,
            partner=self._settings.partner,
            failure_domain=self._settings.failure_domain,
            state=state,
            uptime_ms=now_ms - self._started_ms,
            part_revision=revision,
            part_digest=digest,
            part_conflicts=sorted(parts.store.conflicts),
            fleet_revision=parts.fleet.current.revision,
            fleet_age_ms=parts.fleet.age_ms,
            platform_failures=platform_failures,
            seat_epoch=parts.ownership.epoch,
            bare_keys_quarantined_ms=max(quarantined_ms, 0),
            waiting=self.count_waiting(),
            attempts=[
                _dump_attempt(attempt, now_ms)
                for attempt in self._server.attempts.values()
            ],
            claims=len(parts.ledger),
            targets=[_dump_target(state, now_ms) for state in parts.table],
            peers=[
                self._dump_peer(peer, now_ms)
                for peer in parts.fleet.current.peers
            ],
            pauses=parts.pauses.pauses,
            violations=dict(parts.invariants.violations),
        )

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by tier."""
        return dict(
            collections.Counter(
                waiter.item.call.request_class.tier
                for waiter in self._parts.queue
            )
        )

    def _dump_peer(self, peer: Peer, now_ms: int) -> PeerDump:
        heard = self._book.heard.get(peer.instance)
        return PeerDump(
            instance=peer.instance,
            address=peer.address,
            failure_domain=peer.failure_domain,
            leaving=peer.leaving,
            heard_age_ms=now_ms - heard.heard_ms if heard else None,
            part_revision=heard.digest.part_revision if heard else None,
            part_digest=heard.digest.part_digest if heard else None,
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
