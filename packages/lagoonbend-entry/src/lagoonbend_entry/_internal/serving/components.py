"""Scheduling and claim components of an instance, wired together."""

import random
import secrets

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import KeyWindow
from lagoonbend.claims import PauseDetector
from lagoonbend.claims import TicketIssuer
from lagoonbend.clock import Clock
from lagoonbend.configuration import PartStore
from lagoonbend.configuration import ShardStore
from lagoonbend.invariants import Invariants
from lagoonbend.membership import FleetView
from lagoonbend.queueing import AdmissionControl
from lagoonbend.queueing import QueuedCall
from lagoonbend.queueing import TierQueue
from lagoonbend.routing import TargetTable
from lagoonbend_entry._internal.settings.settings import Settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

INCARNATION_BYTES = 6
ARRIVAL_PHASES = 2
"""The head and the body of a request have a timeout each, and a pause that is
too short to be detected may extend either."""


class Components:
    """Components that make decisions; they share a clock and do no I/O.

    :param settings: settings of the instance.
    :param clock: clock of the instance.
    :param metrics: metrics of the instance.
    """

    def __init__(
        self, settings: Settings, clock: Clock, metrics: Metrics
    ) -> None:
        claims = settings.claims
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.address = f'{settings.peers.address}:{settings.peers.port}'
        self._metrics = metrics
        self.invariants = Invariants(report=self._report_violation)
        self.ticket_issuer = TicketIssuer(
            settings.instance.name, self.incarnation, clock
        )
        window = KeyWindow(
            claims.repeat_window_ms,
            ARRIVAL_PHASES
            * (settings.callers.body_timeout_ms + claims.pause_ms),
            claims.nonce_life_ms,
        )
        self.ownership = KeyOwnership(
            self.address,
            clock,
            window=window,
            confirm_ms=claims.confirm_ms,
        )
        self.ledger = ClaimLedger(
            clock,
            self.ticket_issuer,
            self.ownership,
            ticket_life_ms=claims.ticket_life_ms,
            window=window,
            invariants=self.invariants,
        )
        self.pauses = PauseDetector(
            clock,
            pause_ms=claims.pause_ms,
            settle_ms=claims.settle_ms,
        )
        self.store = PartStore(settings.instance.partner, self.invariants)
        self.shards = ShardStore()
        self.fleet = FleetView(clock)
        self.table = TargetTable(
            clock,
            policy=settings.serving.policy,
            rng=random.Random(),
            outstanding_limit=settings.serving.outstanding_limit,
            backlog_limit_ms=settings.serving.backlog_limit_ms,
        )
        self.queue: TierQueue[QueuedCall] = TierQueue(
            settings.serving.queue_capacity, self.invariants
        )
        self.control = AdmissionControl(
            clock,
            self.queue,
            self.table,
            self.invariants,
            preempt_slack_ms=settings.serving.preempt_slack_ms,
        )

    @classmethod
    def from_config(
        cls, settings: Settings, clock: Clock, metrics: Metrics
    ) -> 'Components':
        """Return components configured by ``settings``."""
        return cls(settings, clock, metrics)

    def _report_violation(self, name: str, context: str) -> None:
        self._metrics.violations.inc({'name': name})
        log_event(Event.INVARIANT_BROKEN, name=name, context=context)
