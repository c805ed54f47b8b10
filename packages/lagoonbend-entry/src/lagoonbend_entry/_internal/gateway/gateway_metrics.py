"""Prometheus metrics of an instance."""

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.formats import text

from lagoonbend.scheduling import KeptPromptTotals

LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.6, 1.2, 2.5, 5.0, 15.0]
"""Cover the latency objectives of the users' deployments, 0.16 to 1.5 s."""
MILLISECONDS_PER_SECOND = 1000
UNKNOWN_AGE_S = -1.0


class GatewayMetrics:
    """Counters, gauges and latency histograms."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._call_counter = self._add_counter(
            'lagoonbend_calls_total', 'Calls by route and outcome.'
        )
        self._attempt_counter = self._add_counter(
            'lagoonbend_attempts_total', 'Attempts by target and end.'
        )
        self._unanswered_counter = self._add_counter(
            'lagoonbend_unanswered_calls_total',
            'Calls that were read and got no complete answer, by cause.',
        )
        self._ended_target_counter = self._add_counter(
            'lagoonbend_ended_targets_total',
            'Targets that ended while a call waited for its answer there, by'
            ' service.',
        )
        self._first_byte_histogram = self._add_histogram(
            'lagoonbend_first_bytes_seconds',
            'Time from the send to the first bytes of an answer, by route.',
        )
        self._call_histogram = self._add_histogram(
            'lagoonbend_call_seconds',
            'Time from receipt to the final answer, by route.',
        )
        self._loop_histogram = self._add_histogram(
            'lagoonbend_loop_held_seconds',
            'Delay with which the event loop lets a greenlet run.',
        )
        self._state_gauge = Gauge(
            'lagoonbend_state',
            'Ages, versions and counts, by name.',
            registry=self._registry,
        )
        self._waiting_gauge = Gauge(
            'lagoonbend_waiting_calls',
            'Calls that wait for a place here, by service.',
            registry=self._registry,
        )

    def count_call(
        self, route: str, outcome: str, first_byte_ms: int, total_ms: int
    ) -> None:
        """Count a call after its final answer."""
        self._call_counter.inc({'route': route, 'outcome': outcome})
        labels = {'route': route}
        if first_byte_ms:
            self._first_byte_histogram.observe(
                labels, first_byte_ms / MILLISECONDS_PER_SECOND
            )
        if total_ms:
            self._call_histogram.observe(
                labels, total_ms / MILLISECONDS_PER_SECOND
            )

    def count_unanswered(self, cause: str) -> None:
        """Count a call that was read and got no complete answer."""
        self._unanswered_counter.inc({'cause': cause})

    def count_ended_target(self, service: str) -> None:
        """Count a target whose process has ended."""
        self._ended_target_counter.inc({'service': service})

    def observe_loop_held(self, held_s: float) -> None:
        """Record a delay of the event loop."""
        self._loop_histogram.observe({}, held_s)

    def count_attempt(self, target: str, outcome: str) -> None:
        """Count an attempt by target and outcome."""
        self._attempt_counter.inc({'target': target, 'end': outcome})

    def set_state(
        self,
        *,
        fact_age_ms: int | None,
        version: int,
        active_calls: int,
        opened_connections: int,
        store_calls: int,
        reached_instances: int,
        evacuated_domains: int,
        cold_targets: int,
        sent_item_bytes: int,
        received_item_bytes: int,
        waiting_by_service: dict[str, int],
        kept_prompt_totals: KeptPromptTotals | None = None,
    ) -> None:
        """Set the gauges."""
        age_s = UNKNOWN_AGE_S
        if fact_age_ms is not None:
            age_s = fact_age_ms / MILLISECONDS_PER_SECOND
        values = {
            'fact_age_seconds': age_s,
            'configuration_version': version,
            'active_calls': active_calls,
            'opened_connections': opened_connections,
            'store_calls': store_calls,
            'reached_instances': reached_instances,
            'evacuated_domains': evacuated_domains,
            'cold_targets': cold_targets,
            'sent_item_bytes': sent_item_bytes,
            'received_item_bytes': received_item_bytes,
        }
        if kept_prompt_totals is not None:
            totals = kept_prompt_totals
            values |= {
                'kept_prompt_waits': totals.waits,
                'kept_prompt_waits_abandoned': totals.abandoned,
                'kept_prompt_saved_seconds': totals.saved_ms
                / MILLISECONDS_PER_SECOND,
                'kept_prompt_lost_seconds': totals.lost_ms
                / MILLISECONDS_PER_SECOND,
            }
        for name, value in values.items():
            self._state_gauge.set({'name': name}, value)
        for labels, _ in self._waiting_gauge.get_all():
            if labels['service'] not in waiting_by_service:
                self._waiting_gauge.set(labels, 0)
        for service, count in waiting_by_service.items():
            self._waiting_gauge.set({'service': service}, count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(text.TextFormatter().marshall(self._registry))

    def _add_counter(self, name: str, meaning: str) -> Counter:
        return Counter(name, meaning, registry=self._registry)

    def _add_histogram(self, name: str, meaning: str) -> Histogram:
        return Histogram(
            name,
            meaning,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
