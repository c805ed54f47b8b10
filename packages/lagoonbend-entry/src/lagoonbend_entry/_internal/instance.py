"""An entry instance: listeners, watchers and decision parts."""

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
from lagoonbend_entry._internal.serving.admission import Admission
from lagoonbend_entry._internal.serving.call_reader import CallReader
from lagoonbend_entry._internal.serving.call_server import CallServer
from lagoonbend_entry._internal.serving.claim_courier import ClaimCourier
from lagoonbend_entry._internal.serving.dump_builder import DumpBuilder
from lagoonbend_entry._internal.serving.limit_sharer import LimitSharer
from lagoonbend_entry._internal.serving.load_poller import LoadPoller
from lagoonbend_entry._internal.serving.part_applier import PartApplier
from lagoonbend_entry._internal.serving.parts import Parts
from lagoonbend_entry._internal.serving.peer_exchange import PeerExchange
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry
from lagoonbend_entry._internal.serving.platform_watcher import PlatformWatcher
from lagoonbend_entry._internal.serving.rulebook import Rulebook
from lagoonbend_entry._internal.serving.step_driver import StepDriver
from lagoonbend_entry._internal.settings.settings import Settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

MILLISECONDS_PER_SECOND = 1000
TICK_S = 0.1
BACKLOG = 256
JOIN_TIMEOUT_S = 3.0
HOLD_MS = 2_000
VALUES_PATH = '/v1/values/'
VALUE_PATHS = {'document': '/v1/values/document', 'fleet': '/v1/fleet'}


class Instance:
    """One entry instance.

    :param settings: checked settings.
    :param clock: clock of the instance.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics(settings.instance.name)
        self._parts = Parts.from_config(settings, clock, self._metrics)
        self._stopped = gevent.event.Event()
        self._state = 'starting'
        self._woke_ms = 0
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
        """Return an instance on the runtime's clock."""
        return cls(settings, RuntimeClock())

    def run(self) -> None:
        """Serve until a signal has drained the instance."""
        self._loop.start()
        self._loop.ask(self._start_peer_server())
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
        log_event(Event.STARTED, incarnation=self._parts.incarnation)
        self._stopped.wait()

    def _build_serving(self) -> None:
        parts = self._parts
        settings = self._settings
        self._rulebook = Rulebook(parts.store, parts.shards)
        admission = Admission(parts.control)
        directory = HolderDirectory(
            settings.instance.name,
            parts.address,
            parts.ownership,
            parts.fleet,
        )
        courier = ClaimCourier(parts.ledger, parts.ticket_issuer, self._peers)
        driver = StepDriver(
            self._clock,
            courier,
            admission,
            settings.serving,
            self._metrics,
        )
        self._server = CallServer(
            self._clock,
            directory,
            courier,
            admission,
            driver,
            parts.ticket_issuer,
            parts.invariants,
            self._metrics,
            receipt_life_ms=settings.claims.nonce_life_ms,
        )

    def _build_watching(self) -> None:
        parts = self._parts
        settings = self._settings
        me = settings.instance
        self._book = PeerRegistry(
            me.name,
            parts.address,
            me.failure_domain,
            self._clock,
            parts.store,
            parts.fleet,
            parts.ownership,
            parts.table,
        )
        self._applier = PartApplier(
            parts.store, parts.shards, parts.ownership, self._book
        )
        self._exchange = PeerExchange(
            me.name,
            me.failure_domain,
            self._clock,
            parts.fleet,
            parts.ownership,
            self._peers,
            self._book,
            self._apply_peer_value,
            self._confirm_facts,
            random.Random(),
            heartbeat_ms=settings.peers.heartbeat_ms,
        )
        self._poller = LoadPoller(
            me.name,
            me.failure_domain,
            self._clock,
            parts.fleet,
            parts.table,
        )
        self._limits = LimitSharer(
            me.name, self._clock, parts.fleet, self._peers, self._book
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
            settings.instance, self._clock, parts, self._book, self._server
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
        parts = self._parts
        reader = CallReader(
            self._settings.instance.name,
            parts.incarnation,
            self._clock,
            self._rulebook,
            parts.pauses,
            self._limits,
            body_limit_bytes=callers.body_limit_bytes,
            body_timeout_ms=callers.body_timeout_ms,
        )
        sink = CallSink(reader, self._server, self._metrics)
        tickets = ticket_resource.TicketResource(self._rulebook, self._server)
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
                    and parts.store.current is not None
                ),
                self._gate if self._settings.faults.links == 'on' else None,
            ),
            log=None,
        )

    async def _start_peer_server(self) -> None:
        peers = self._settings.peers
        service = PeerService(
            self._loop,
            self._parts.ledger,
            self._parts.ticket_issuer,
            self._book,
        )
        self._peer_server = Server([service])
        await self._peer_server.start(peers.address, peers.port)

    def _apply_platform_value(self, value: str, body: bytes) -> None:
        if value == 'document':
            # A stale platform must not take an empty instance back to a
            # document that its peers have left behind.
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
        if not self._parts.fleet.apply(fleet):
            return
        self._book.keep_value('fleet', body)
        self._parts.table.apply(fleet.targets)
        log_event(Event.FLEET_APPLIED, revision=fleet.revision, source=source)
        self._parts.control.tick()

    def _tick(self) -> None:
        while True:
            gap_ms = self._parts.pauses.observe()
            if gap_ms is not None:
                self._woke_ms = self._clock.now_ms()
                self._parts.control.hold(self._woke_ms + HOLD_MS)
                log_event(Event.PAUSE_NOTICED, pause_ms=gap_ms)
            self._parts.ledger.expire()
            self._parts.control.tick()
            gevent.sleep(TICK_S)

    def _confirm_facts(self, asked_ms: int) -> None:
        if asked_ms >= self._woke_ms:
            self._parts.control.resume()

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
            gevent.sleep(TICK_S)
        log_event(Event.DRAIN_ENDED, cut=self._caller_server.in_flight)
        self._stopped.set()


def _listen(address: str, port: int) -> gevent.socket.socket:
    listener = gevent.socket.socket()
    listener.setsockopt(
        gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1
    )
    listener.bind((address, port))
    listener.listen(BACKLOG)
    return listener
