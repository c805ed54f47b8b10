"""An instance on the users' platform: creates and connects its components."""

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
from lagoonbend.facts import ColdTolerance
from lagoonbend.facts import Evacuations
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.outcomes import RetryShare
from lagoonbend.scheduling import CALL_AGES
from lagoonbend.scheduling import CUSTOMER_ORDERS
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend_entry._internal.coordination import peer_links
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.heartbeat import all_bind_streams
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway import facts_confirmer
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.call_handler import CallHandler
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.fact_ages import FactAges
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry._internal.gateway.history_reader import HistoryReader
from lagoonbend_entry._internal.gateway.link_probe import LinkProbe
from lagoonbend_entry._internal.gateway.prompt_survey import PromptSurvey
from lagoonbend_entry._internal.gateway.reachability import PEER_DOUBT_MS
from lagoonbend_entry._internal.gateway.route_explainer import RouteExplainer
from lagoonbend_entry._internal.gateway.store_watcher import StoreWatcher
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.gateway.tcp_socket import set_tcp_options
from lagoonbend_entry._internal.gateway.text_server import HTTP_OK
from lagoonbend_entry._internal.gateway.text_server import TextServer
from lagoonbend_entry._internal.models.route_question import EXPLAIN_PATH
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
from lagoonbend_entry._internal.utils.loop_watch import LoopWatch

MAX_FACT_AGE_SHARE = 0.72
"""Share of ``revoke_ms`` that the age of the facts may reach for calls of
customers. The rest covers a watch that returns nothing for up to a second
while changes are made, and the time that its answer takes."""
READY_FACT_AGE_SHARE = 0.9
"""Share of that age up to which the instance reports itself ready."""
DRAIN_NOTICE_MS = 2_500
"""Time for the load balancer to stop sending connections: it checks readiness
every second and acts on the second failed check."""
DRAIN_GRACE_SHARE = 0.93
"""Share of ``grace_s`` after which a draining process exits by itself."""
FINAL_ANSWERS_S = 0.25
"""Time at the end of a drain in which calls that are still active get their
final answer."""
BACKLOG = 1_024
"""Connections that the system queues for a listener."""
HTTP_UNAVAILABLE = 503
MILLISECONDS_PER_SECOND = 1000
METRICS_PATH = b'/metrics'
MAINTENANCE_INTERVAL_S = 1.0
"""Interval of checks for expired connections and a changed settings file."""
DRAIN_POLL_S = 0.05
"""Interval at which a draining process checks for open connections."""


class Gateway:
    """Serves calls through the targets that the platform lists.

    :param settings: validated settings.
    :param path: file that they were read from.
    """

    def __init__(
        self, settings: gateway_settings.GatewaySettings, path: pathlib.Path
    ) -> None:
        self._settings = settings
        self._settings_path = path
        self._settings_mtime_ns = self._read_settings_mtime_ns()
        self._clock = RuntimeClock()
        self._invariants = Invariants(report=self._report_violation)
        self._stop_requested = gevent.event.Event()
        self._is_draining = False
        self._was_ready = False
        self._caller_connections: set[caller_connection.CallerConnection] = (
            set()
        )
        self._max_fact_age_ms = int(
            settings.bounds.revoke_ms * MAX_FACT_AGE_SHARE
        )
        self._facts = FactsCache(
            self._clock,
            decode_rules,
            decode_target,
            names.RULES_KEY,
            Evacuations(names.EVACUATIONS_PREFIX),
            ColdTolerance(
                settings.bounds.cold_overshoot_ratio,
                settings.bounds.cold_slack,
            ),
        )
        self._fleet = Fleet(
            settings.listen.peers_endpoint,
            settings.instance.failure_domain,
            settings.peers.seed_endpoints.split(),
            self._clock,
            settings.listen.callers_endpoint,
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
            CUSTOMER_ORDERS[settings.scheduling.customer_order],
        )
        # Fallback schedulers don't know what other instances have sent, and
        # so don't let calls wait for a target.
        schedulers = self._coordinator.pool_schedulers
        schedulers.kept_prompts = settings.scheduling.kept_prompts
        self._connection_pool = ConnectionPool(self._clock)
        self._store_client = StoreClient(
            parse_endpoint(settings.platform.endpoint),
            settings.instance.name,
            settings.platform.timeout_ms,
        )
        ages = FactAges.from_config(settings.bounds)
        self._store_watcher = StoreWatcher(
            self._facts,
            self._store_client,
            self._clock,
            self._is_store_reader,
            ages,
            self._get_heartbeat_ms,
        )
        confirming_client, history_client = (
            StoreClient(
                parse_endpoint(settings.platform.endpoint),
                settings.instance.name,
                facts_confirmer.CONFIRM_TIMEOUT_MS,
            )
            for _ in range(2)
        )
        self._facts.confirm = facts_confirmer.FactsConfirmer(
            self._facts, confirming_client, self._clock
        ).confirm
        self._facts.read_history = HistoryReader(
            self._facts,
            history_client,
            self._clock,
            round(settings.platform.history_s * 1000),
        ).read
        self._metrics = GatewayMetrics()
        self._loop_watch = LoopWatch(self._metrics.observe_loop_held)
        self._metrics_server = TextServer(
            METRICS_PATH, lambda: (HTTP_OK, self._render_metrics())
        )
        self._coordinator.origins.search_prompt = PromptSurvey(
            self._facts,
            self._clock,
            lambda: all_bind_streams(self._fleet.list_alive()),
        ).find_version
        closed_targets = ClosedTargets(
            TargetPauses(self._clock, random.Random())
        )
        instance = (
            settings.listen.peers_endpoint,
            settings.instance.failure_domain,
        )
        self._metrics_server.answers_by_path[EXPLAIN_PATH.encode()] = (
            RouteExplainer(
                self._facts,
                self._coordinator,
                closed_targets,
                self._clock,
                self._max_fact_age_ms,
                instance,
                RANK_ORDERS[settings.scheduling.rank_order],
                ages,
            ).answer
        )
        self._call_handler = CallHandler(
            self._facts,
            Admission(
                self._facts,
                self._clock,
                self._max_fact_age_ms,
                random.Random(),
                CALL_AGES[settings.scheduling.call_age](),
                ages,
            ),
            self._coordinator,
            self._connection_pool,
            closed_targets,
            self._clock,
            self._make_retry_share,
            instance,
            RANK_ORDERS[settings.scheduling.rank_order],
            self._metrics,
        )
        reachability = self._call_handler.reachability
        self._fleet.list_unreached = lambda: reachability.unreached_services
        self._fleet.on_unreached = lambda service: reachability.doubt(
            service, self._clock.now_ms() - PEER_DOUBT_MS, needs_answer=True
        )
        self._link_probe = LinkProbe(
            reachability,
            self._facts,
            self._clock,
            target_connection.TargetConnection.connect,
            self._call_handler.find_silent,
        )

    @classmethod
    def from_config(
        cls, settings: gateway_settings.GatewaySettings, path: pathlib.Path
    ) -> 'Gateway':
        """Return a gateway with the given settings."""
        return cls(settings, path)

    def run(self) -> None:
        """Serve until a stop signal arrives and the drain is complete.

        :raises OSError: if a listener can't be opened.
        """
        log_writer = open_event_log(self._settings.instance.name)
        try:
            self._serve()
        except OSError as error:
            log_event(Event.LISTENER_FAILED, reason=str(error))
            raise
        finally:
            log_writer.flush()

    def _serve(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal.signal(signal_number, self._on_stop)
        gevent.signal.signal(signal.SIGHUP, self._on_reload)
        listen = self._settings.listen
        readiness_server = TextServer(
            names.READINESS_PATH, self._answer_readiness
        )
        caller_server = self._listen(
            listen.callers_endpoint, self._serve_caller
        )
        self._listen(listen.readiness_endpoint, readiness_server.serve)
        self._listen(listen.peers_endpoint, self._coordinator.peers.serve)
        self._listen(listen.metrics_endpoint, self._metrics_server.serve)
        self._coordinator.start()
        gevent.spawn(self._store_watcher.run)
        gevent.spawn(run_guarded, 'upkeep', self._run_maintenance)
        gevent.spawn(run_guarded, 'link probe', self._link_probe.run)
        gevent.spawn(run_guarded, 'loop watch', self._loop_watch.run)
        log_event(
            Event.STARTED,
            failure_domain=self._settings.instance.failure_domain,
            reads_store=self._is_store_reader(),
            process=os.getpid(),
        )
        self._stop_requested.wait()
        self._drain(caller_server)

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
            self._call_handler.serve,
            lambda: self._is_draining,
        )
        self._caller_connections.add(connection)
        try:
            connection.run()
        finally:
            self._caller_connections.discard(connection)

    def _is_ready(self) -> bool:
        age_ms = self._facts.age_ms()
        is_ready = (
            not self._is_draining
            and self._facts.rules is not None
            and age_ms is not None
            and age_ms < self._max_fact_age_ms * READY_FACT_AGE_SHARE
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
            active_calls=self._call_handler.active_count,
            opened_connections=self._connection_pool.opened_count,
            store_calls=self._store_client.call_count,
            reached_instances=self._fleet.count_alive(),
            evacuated_domains=len(self._facts.evacuations.domains),
            cold_targets=self._facts.count_cold(),
            sent_item_bytes=self._coordinator.facts_exchange.sent_bytes,
            received_item_bytes=(
                self._coordinator.facts_exchange.received_bytes
            ),
            waiting_by_service=self._coordinator.count_waiting(),
            kept_prompt_totals=(
                self._coordinator.pool_schedulers.kept_prompt_totals
            ),
        )
        return self._metrics.render()

    def _is_store_reader(self) -> bool:
        return self._fleet.is_store_reader()

    def _get_heartbeat_ms(self) -> int:
        """Return the interval of heartbeats that carry news."""
        if self._fleet.is_full_mesh:
            return peer_links.PING_INTERVAL_MS
        return peer_links.GOSSIP_PING_INTERVAL_MS

    def _make_retry_share(self) -> RetryShare:
        bounds = self._settings.bounds
        return RetryShare(
            self._clock,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        )

    def _on_stop(self, *unused: object) -> None:
        self._stop_requested.set()

    def _on_reload(self, *unused: object) -> None:
        gevent.spawn(self._reload)

    def _reload(self) -> None:
        """Read the settings again.

        New seeds take effect, and the bounds that are read only when they are
        used: ``grace_s``, and the retry bounds of services not yet called.
        """
        try:
            settings = read_sections(
                self._settings_path, gateway_settings.GatewaySettings
            )
        except SettingsError as error:
            log_event(Event.RELOAD_FAILED, reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._coordinator.add_peers(settings.peers.seed_endpoints.split())
        log_event(Event.RELOADED, seeds=settings.peers.seed_endpoints)

    def _drain(self, caller_server: gevent.server.StreamServer) -> None:
        """Report not ready, stop accepting connections and finish requests."""
        started_ms = self._clock.now_ms()
        self._is_draining = True
        self._coordinator.leave()
        log_event(Event.DRAIN_BEGUN, active=self._call_handler.active_count)
        drain_s = self._settings.bounds.grace_s * DRAIN_GRACE_SHARE
        latest_end_ms = started_ms + int(drain_s * MILLISECONDS_PER_SECOND)
        close_listener_ms = started_ms + DRAIN_NOTICE_MS
        while (now_ms := self._clock.now_ms()) < latest_end_ms:
            if now_ms >= close_listener_ms:
                self._call_handler.latest_end_ms = latest_end_ms
                caller_server.close()
                if self._close_idle_connections():
                    break
            gevent.sleep(DRAIN_POLL_S)
        self._end_calls()
        self._call_handler.report_unanswered('instance stopped')
        log_event(Event.DRAIN_ENDED, active=self._call_handler.active_count)

    def _close_idle_connections(self) -> bool:
        """Close connections without a request; True if none is left."""
        for connection in list(self._caller_connections):
            connection.close_idle()
        return not self._caller_connections

    def _end_calls(self) -> None:
        """Give the calls that are left their final answers."""
        self._call_handler.end_calls()
        end_s = time.monotonic() + FINAL_ANSWERS_S
        while self._call_handler.active_count and time.monotonic() < end_s:
            gevent.sleep(DRAIN_POLL_S)

    def _run_maintenance(self) -> None:
        gevent.sleep(MAINTENANCE_INTERVAL_S)
        self._connection_pool.close_expired()
        current = self._read_settings_mtime_ns()
        if current != self._settings_mtime_ns:
            self._settings_mtime_ns = current
            self._reload()

    def _read_settings_mtime_ns(self) -> int:
        try:
            return self._settings_path.stat().st_mtime_ns
        except OSError:
            return 0

    @staticmethod
    def _report_violation(name: str, context: str) -> None:
        log_event(Event.INVARIANT_BROKEN, name=name, context=context)


def parse_endpoint(endpoint: str) -> tuple[str, int]:
    """Split ``ip:port`` into IP address and port."""
    ip, _, port = endpoint.rpartition(':')
    return ip, int(port)
