"""An entry instance: its listeners, watchers and scheduling components."""

import functools
import random
import signal

import gevent
import gevent.event
from gevent.pywsgi import WSGIServer
import gevent.socket
from grpclib.server import Server

from lagoonbend.claims import HolderDirectory
from lagoonbend.clock import Clock
from lagoonbend.clock import RuntimeClock
from lagoonbend.exceptions import PlatformError
from lagoonbend_entry._internal.models.dump import Dump
from lagoonbend_entry._internal.network.callers import caller_app
from lagoonbend_entry._internal.network.callers import ticket_resource
from lagoonbend_entry._internal.network.callers import tracked_handler
from lagoonbend_entry._internal.network.callers.call_sink import CallSink
from lagoonbend_entry._internal.network.link_gate import LinkGate
from lagoonbend_entry._internal.network.operators import operator_app
from lagoonbend_entry._internal.network.peers.hub_bridge import HubBridge
from lagoonbend_entry._internal.network.peers.peer_client import PeerClient
from lagoonbend_entry._internal.network.peers.peer_loop import PeerLoop
from lagoonbend_entry._internal.network.peers.peer_service import PeerService
from lagoonbend_entry._internal.network.platform import platform_reader
from lagoonbend_entry._internal.serving.admission import BlockingAdmission
from lagoonbend_entry._internal.serving.call_reader import CallReader
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.serving.claim_client import ClaimClient
from lagoonbend_entry._internal.serving.components import Components
from lagoonbend_entry._internal.serving.dump_builder import DumpBuilder
from lagoonbend_entry._internal.serving.limit_sharer import LimitSharer
from lagoonbend_entry._internal.serving.load_poller import LoadPoller
from lagoonbend_entry._internal.serving.part_applier import PartApplier
from lagoonbend_entry._internal.serving.peer_exchange import PeerExchange
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry
from lagoonbend_entry._internal.serving.platform_watcher import PlatformWatcher
from lagoonbend_entry._internal.serving.request_rules import RequestRules
from lagoonbend_entry._internal.serving.step_executor import StepExecutor
from lagoonbend_entry._internal.settings.settings import Settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

MILLISECONDS_PER_SECOND = 1000
TICK_INTERVAL_S = 0.1
LISTEN_BACKLOG = 256
JOIN_TIMEOUT_S = 3.0
"""Longest time that a document from the platform waits for the first exchange
with peers."""
HOLD_AFTER_PAUSE_MS = 2_000
"""Longest time after a pause in which no call is assigned; it ends as soon as
peers have confirmed the facts."""
VALUES_PATH = '/v1/values/'
VALUE_PATHS = {'document': '/v1/values/document', 'fleet': '/v1/fleet'}


class Instance:
    """Entry instance that serves callers, operators and peers.

    :param settings: validated settings.
    :param clock: clock of the instance.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics(settings.instance.name)
        self._components = Components.from_config(
            settings, clock, self._metrics
        )
        self._stopped = gevent.event.Event()
        self._state = 'starting'
        self._pause_ended_ms = 0
        self._gate = LinkGate()
        self._loop = PeerLoop(HubBridge())
        self._peers = PeerClient(
            self._loop, self._gate, timeout_ms=settings.peers.timeout_ms
        )
        self._build_serving()
        self._build_watching()
        self._build_listeners()

    @classmethod
    def from_config(cls, settings: Settings) -> 'Instance':
        """Return an instance that runs on the real clock."""
        return cls(settings, RuntimeClock())

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT has drained the instance."""
        self._loop.start()
        self._loop.run_in_loop(self._start_peer_server())
        for watcher in self._watchers:
            gevent.spawn(watcher.run)
        gevent.spawn(self._exchange.run)
        gevent.spawn(self._poller.run)
        gevent.spawn(self._limits.run)
        gevent.spawn(self._tick)
        self._caller_server.start()
        self._operator_server.start()
        gevent.signal_handler(signal.SIGTERM, self._begin_drain)
        gevent.signal_handler(signal.SIGINT, self._begin_drain)
        self._state = 'serving'
        log_event(Event.STARTED, incarnation=self._components.incarnation)
        self._stopped.wait()

    def _build_serving(self) -> None:
        components = self._components
        settings = self._settings
        self._request_rules = RequestRules(components.store, components.shards)
        admission = BlockingAdmission(components.control)
        directory = HolderDirectory(
            settings.instance.name,
            components.address,
            components.ownership,
            components.fleet,
        )
        claim_client = ClaimClient(
            components.ledger, components.ticket_issuer, self._peers
        )
        executor = StepExecutor(
            self._clock,
            claim_client,
            admission,
            settings.serving,
            self._metrics,
        )
        self._server = CallServer(
            self._clock,
            directory,
            claim_client,
            admission,
            executor,
            components.ticket_issuer,
            components.invariants,
            self._metrics,
            receipt_life_ms=settings.claims.nonce_life_ms,
        )

    def _build_watching(self) -> None:
        components = self._components
        settings = self._settings
        instance_settings = settings.instance
        self._peer_registry = PeerRegistry(
            instance_settings.name,
            components.address,
            instance_settings.failure_domain,
            self._clock,
            components.store,
            components.fleet,
            components.ownership,
            components.table,
        )
        self._applier = PartApplier(
            components.store,
            components.shards,
            components.ownership,
            self._peer_registry,
        )
        self._exchange = PeerExchange(
            instance_settings.name,
            instance_settings.failure_domain,
            self._clock,
            components.fleet,
            components.ownership,
            self._peers,
            self._peer_registry,
            self._apply_peer_value,
            self._confirm_facts,
            random.Random(),
            heartbeat_ms=settings.peers.heartbeat_ms,
        )
        self._poller = LoadPoller(
            instance_settings.name,
            instance_settings.failure_domain,
            self._clock,
            components.fleet,
            components.table,
        )
        self._limits = LimitSharer(
            instance_settings.name,
            self._clock,
            components.fleet,
            self._peers,
            self._peer_registry,
        )
        self._watchers = [
            PlatformWatcher(
                value,
                self._build_reader(path),
                functools.partial(self._apply_platform_value, value),
                retry_ms=settings.platform.retry_ms,
            )
            for value, path in VALUE_PATHS.items()
        ]
        self._dumps = DumpBuilder(
            settings.instance,
            self._clock,
            components,
            self._peer_registry,
            self._server,
        )

    def _build_reader(self, path: str) -> platform_reader.PlatformReader:
        platform = self._settings.platform
        return platform_reader.PlatformReader(
            platform.address,
            platform.port,
            path,
            watch_ms=platform.watch_ms,
            gate=self._gate,
        )

    def _build_listeners(self) -> None:
        callers = self._settings.callers
        operators = self._settings.operators
        components = self._components
        reader = CallReader(
            self._settings.instance.name,
            components.incarnation,
            self._clock,
            self._request_rules,
            components.pauses,
            self._limits,
            body_limit_bytes=callers.body_limit_bytes,
            body_timeout_ms=callers.body_timeout_ms,
        )
        sink = CallSink(reader, self._server, self._metrics)
        tickets = ticket_resource.TicketResource(
            self._request_rules, self._server
        )
        self._caller_server = tracked_handler.TrackedServer(
            _listen(callers.address, callers.port),
            caller_app.build_caller_app(sink, tickets),
            clock=self._clock,
            silence_timeout_s=callers.body_timeout_ms
            / MILLISECONDS_PER_SECOND,
        )
        self._operator_server = WSGIServer(
            _listen(operators.address, operators.port),
            operator_app.build_operator_app(
                self._build_dump,
                self._render_metrics,
                lambda: (
                    self._state == 'serving'
                    and components.store.current is not None
                ),
                self._gate if self._settings.faults.links == 'on' else None,
            ),
            log=None,
        )

    async def _start_peer_server(self) -> None:
        peers = self._settings.peers
        service = PeerService(
            self._loop,
            self._components.ledger,
            self._components.ticket_issuer,
            self._peer_registry,
        )
        self._peer_server = Server([service])
        await self._peer_server.start(peers.address, peers.port)

    def _apply_platform_value(self, value: str, body: bytes) -> None:
        if value == 'document':
            # An instance that has just started has no document yet. Wait
            # for the peers' state first, so that a stale platform can't make
            # it apply a document that its peers have already replaced.
            self._exchange.joined.wait(JOIN_TIMEOUT_S)
            self._applier.apply(body, 'platform', self._read_value)
        else:
            self._apply_fleet(body, 'platform')

    def _apply_peer_value(self, value: str, body: bytes, address: str) -> None:
        if value == 'document':
            fetch = functools.partial(self._peers.fetch_value, address)
            self._applier.apply(body, f'peer {address}', fetch)
        else:
            self._apply_fleet(body, f'peer {address}')

    def _read_value(self, name: str) -> bytes:
        return self._build_reader(VALUES_PATH + name).read()

    def _apply_fleet(self, body: bytes, source: str) -> None:
        try:
            fleet = platform_reader.parse_fleet(body)
        except PlatformError as error:
            log_event(Event.FLEET_REJECTED, reason=str(error))
            return
        if not self._components.fleet.apply(fleet):
            return
        self._peer_registry.store_value('fleet', body)
        self._components.table.apply(fleet.targets)
        log_event(Event.FLEET_APPLIED, revision=fleet.revision, source=source)
        self._components.control.tick()

    def _tick(self) -> None:
        while True:
            gap_ms = self._components.pauses.observe()
            if gap_ms is not None:
                self._pause_ended_ms = self._clock.now_ms()
                self._components.control.hold(
                    self._pause_ended_ms + HOLD_AFTER_PAUSE_MS
                )
                log_event(Event.PAUSE_NOTICED, pause_ms=gap_ms)
            self._components.ledger.expire()
            self._components.control.tick()
            gevent.sleep(TICK_INTERVAL_S)

    def _confirm_facts(self, round_started_ms: int) -> None:
        if round_started_ms >= self._pause_ended_ms:
            self._components.control.resume()

    def _render_metrics(self) -> bytes:
        self._metrics.set_waiting(self._dumps.count_waiting())
        return self._metrics.render()

    def _build_dump(self) -> Dump:
        failures = sum(watcher.failures for watcher in self._watchers)
        return self._dumps.build(self._state, failures)

    def _begin_drain(self) -> None:
        if self._state == 'draining':
            return
        self._state = 'draining'
        log_event(Event.DRAIN_BEGUN, in_flight=self._caller_server.in_flight)
        gevent.spawn(self._drain)

    def _drain(self) -> None:
        serving = self._settings.serving
        self._caller_server.is_draining = True
        gevent.sleep(serving.drain_notice_ms / MILLISECONDS_PER_SECOND)
        self._caller_server.stop_accepting()
        self._caller_server.close()
        deadline_ms = self._clock.now_ms() + serving.drain_timeout_ms
        while (
            self._caller_server.in_flight
            and self._clock.now_ms() < deadline_ms
        ):
            gevent.sleep(TICK_INTERVAL_S)
        log_event(Event.DRAIN_ENDED, cut=self._caller_server.in_flight)
        self._stopped.set()


def _listen(address: str, port: int) -> gevent.socket.socket:
    listener = gevent.socket.socket()
    listener.setsockopt(
        gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1
    )
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    return listener
