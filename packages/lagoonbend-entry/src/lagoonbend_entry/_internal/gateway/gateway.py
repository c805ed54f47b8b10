"""An instance on a published platform: wires the parts together."""

import os
import pathlib
import random
import signal
import time
import uuid

import gevent
import gevent.event
import gevent.server
import gevent.signal
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.exceptions import SettingsError
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.outcomes import RetryShare
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.call_handler import CallHandler
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry._internal.gateway.store_watcher import StoreWatcher
from lagoonbend_entry._internal.gateway.tcp_socket import set_tcp_options
from lagoonbend_entry._internal.gateway.text_server import HTTP_OK
from lagoonbend_entry._internal.gateway.text_server import TextServer
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.platform.rules_codec import decode_rules
from lagoonbend_entry._internal.platform.store_client import StoreClient
from lagoonbend_entry._internal.platform.target_codec import decode_target
from lagoonbend_entry._internal.settings import gateway_settings
from lagoonbend_entry._internal.settings.settings_reader import read_sections
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.event_log import open_event_log
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

FACT_SHARE = 0.72
"""Part of the bound on revoked keys up to which facts are good enough for a
customer's call. A watch may hear nothing for a second while changes are
made, and its answer takes some time."""
READY_AGE_SHARE = 0.9
"""Part of that time up to which the instance takes connections."""
DRAIN_NOTICE_S = 2.5
"""Time for the balancer to notice: it asks each second and needs two
misses."""
LAST_SHARE = 0.93
"""Part of the grace time after which the process ends by itself."""
BACKLOG = 1_024
HTTP_UNAVAILABLE = 503
METRICS_PATH = b'/metrics'
UPKEEP_S = 1.0
"""Time between looks at kept connections and at the settings file."""
POLL_S = 0.05


class Gateway:
    """Serves callers with targets that the platform lists.

    :param settings: checked settings.
    :param path: file that they came from.
    """

    def __init__(
        self, settings: gateway_settings.GatewaySettings, path: pathlib.Path
    ) -> None:
        self._settings = settings
        self._path = path
        self._modified = self._read_modified()
        self._clock = RuntimeClock()
        self._invariants = Invariants(report=self._report_violation)
        self._stop = gevent.event.Event()
        self._is_draining = False
        self._was_ready = False
        self._connections: set[caller_connection.CallerConnection] = set()
        self._fact_limit_ms = int(settings.bounds.revoke_ms * FACT_SHARE)
        self._facts = FactsCache(
            self._clock, decode_rules, decode_target, names.RULES_KEY
        )
        self._fleet = Fleet(
            settings.listen.peers_endpoint,
            settings.instance.failure_domain,
            settings.peers.seed_endpoints.split(),
            self._clock,
        )
        self._coordinator = Coordinator(
            self._fleet,
            self._facts,
            self._clock,
            self._invariants,
            uuid.uuid4().hex[:12],
            LimitTolerance(
                settings.bounds.limit_overshoot_ratio,
                settings.bounds.limit_slack,
                settings.bounds.limit_window_s,
            ),
        )
        self._pool = ConnectionPool(self._clock)
        self._store = StoreClient(
            parse_endpoint(settings.platform.endpoint),
            settings.instance.name,
            settings.platform.timeout_ms,
        )
        self._watcher = StoreWatcher(
            self._facts, self._store, self._clock, self._is_reader
        )
        self._metrics = GatewayMetrics()
        self._metrics_server = TextServer(
            METRICS_PATH, lambda: (HTTP_OK, self._render_metrics())
        )
        self._handler = CallHandler(
            self._facts,
            Admission(
                self._facts, self._clock, self._fact_limit_ms, random.Random()
            ),
            self._coordinator,
            self._pool,
            self._clock,
            self._make_retry_share,
            (settings.listen.peers_endpoint, settings.instance.failure_domain),
            RANK_ORDERS[settings.scheduling.rank_order],
            self._metrics,
        )

    @classmethod
    def from_config(
        cls, settings: gateway_settings.GatewaySettings, path: pathlib.Path
    ) -> 'Gateway':
        """Return an instance with the given settings."""
        return cls(settings, path)

    def run(self) -> None:
        """Serve until SIGTERM has drained the instance.

        :raises OSError: if a listener can't be opened.
        """
        writer = open_event_log(self._settings.instance.name)
        try:
            self._serve()
        except OSError as error:
            log_event(Event.LISTENER_FAILED, reason=str(error))
            raise
        finally:
            writer.flush()

    def _serve(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal.signal(number, self._on_stop)
        gevent.signal.signal(signal.SIGHUP, self._on_reload)
        listen = self._settings.listen
        readiness = TextServer(names.READINESS_PATH, self._answer_readiness)
        callers = self._listen(listen.callers_endpoint, self._serve_caller)
        self._listen(listen.readiness_endpoint, readiness.serve)
        self._listen(listen.peers_endpoint, self._coordinator.peers.serve)
        self._listen(listen.metrics_endpoint, self._metrics_server.serve)
        self._coordinator.start()
        gevent.spawn(self._watcher.run)
        gevent.spawn(run_guarded, 'upkeep', self._keep_up)
        log_event(
            Event.STARTED,
            failure_domain=self._settings.instance.failure_domain,
            reads_store=self._is_reader(),
            process=os.getpid(),
        )
        self._stop.wait()
        self._drain(callers)

    def _listen(
        self, endpoint: str, handle: object
    ) -> gevent.server.StreamServer:
        server = gevent.server.StreamServer(
            parse_endpoint(endpoint), handle, backlog=BACKLOG
        )
        server.start()
        return server

    def _serve_caller(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        try:
            set_tcp_options(sock)
        except OSError:
            sock.close()
            return
        connection = caller_connection.CallerConnection(
            sock,
            self._clock,
            lambda: self._facts.bounds,
            self._handler.serve,
            lambda: self._is_draining,
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _is_ready(self) -> bool:
        age_ms = self._facts.age_ms()
        is_ready = (
            not self._is_draining
            and self._facts.rules is not None
            and age_ms is not None
            and age_ms < self._fact_limit_ms * READY_AGE_SHARE
        )
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(
                Event.READY_CHANGED,
                ready=is_ready,
                version=self._facts.version,
                fact_age_ms=age_ms,
                draining=self._is_draining,
            )
        return is_ready

    def _answer_readiness(self) -> tuple[int, bytes]:
        return (HTTP_OK if self._is_ready() else HTTP_UNAVAILABLE), b''

    def _render_metrics(self) -> bytes:
        self._metrics.set_state(
            fact_age_ms=self._facts.age_ms(),
            version=self._facts.version,
            active=self._handler.active_count,
            opened=self._pool.opened_count,
            store_calls=self._store.call_count,
            peers=self._fleet.count_alive(),
            waiting=self._coordinator.count_waiting(),
        )
        return self._metrics.render()

    def _is_reader(self) -> bool:
        return self._fleet.is_store_reader()

    def _make_retry_share(self) -> RetryShare:
        bounds = self._settings.bounds
        return RetryShare(
            self._clock,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        )

    def _on_stop(self, *unused: object) -> None:
        self._stop.set()

    def _on_reload(self, *unused: object) -> None:
        gevent.spawn(self._reload)

    def _reload(self) -> None:
        """Read the settings again; only seeds and bounds may change."""
        try:
            settings = read_sections(
                self._path, gateway_settings.GatewaySettings
            )
        except SettingsError as error:
            log_event(Event.RELOAD_FAILED, reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._coordinator.add_peers(settings.peers.seed_endpoints.split())
        log_event(Event.RELOADED, seeds=settings.peers.seed_endpoints)

    def _drain(self, callers: gevent.server.StreamServer) -> None:
        """Let the balancer notice, finish requests, and leave."""
        started_s = time.monotonic()
        self._is_draining = True
        self._coordinator.leave()
        log_event(Event.DRAIN_BEGUN, active=self._handler.active_count)
        last_s = started_s + self._settings.bounds.grace_s * LAST_SHARE
        notice_s = started_s + DRAIN_NOTICE_S
        while time.monotonic() < last_s:
            if time.monotonic() >= notice_s:
                callers.stop_accepting()
                for connection in list(self._connections):
                    connection.close_idle()
                if not self._connections:
                    break
            gevent.sleep(POLL_S)
        log_event(Event.DRAIN_ENDED, active=self._handler.active_count)

    def _keep_up(self) -> None:
        gevent.sleep(UPKEEP_S)
        self._pool.expire()
        current = self._read_modified()
        if current != self._modified:
            self._modified = current
            self._reload()

    def _read_modified(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0

    @staticmethod
    def _report_violation(name: str, context: str) -> None:
        log_event(Event.INVARIANT_BROKEN, name=name, context=context)


def parse_endpoint(endpoint: str) -> tuple[str, int]:
    """Return IP number and port of ``ip:port``."""
    ip, _, port = endpoint.rpartition(':')
    return ip, int(port)
