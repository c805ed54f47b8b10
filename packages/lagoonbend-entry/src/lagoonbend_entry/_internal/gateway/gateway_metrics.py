"""Metrics of an instance on a platform."""

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.formats import text

LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.6, 1.2, 2.5, 5.0, 15.0]
"""Bounds around the objectives of the sheets, 0.16 to 1.5 s."""
MILLISECONDS_PER_SECOND = 1000
UNKNOWN_AGE_S = -1.0


class GatewayMetrics:
    """Counters, gauges and latency histograms."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._calls = self._add_counter(
            'lagoonbend_calls_total', 'Calls by route and outcome.'
        )
        self._attempts = self._add_counter(
            'lagoonbend_attempts_total', 'Attempts by target and end.'
        )
        self._first = self._add_histogram(
            'lagoonbend_first_bytes_seconds',
            'Time from the send to the first bytes of an answer, by route.',
        )
        self._total = self._add_histogram(
            'lagoonbend_call_seconds',
            'Time from receipt to the final answer, by route.',
        )
        self._state = Gauge(
            'lagoonbend_state',
            'Ages, versions and counts, by name.',
            registry=self._registry,
        )
        self._waiting = Gauge(
            'lagoonbend_waiting_calls',
            'Calls that wait for a place here, by service.',
            registry=self._registry,
        )

    def count_call(
        self, route: str, outcome: str, first_ms: int, total_ms: int
    ) -> None:
        """Count a call that got its final answer."""
        self._calls.inc({'route': route, 'outcome': outcome})
        labels = {'route': route}
        if first_ms:
            self._first.observe(labels, first_ms / MILLISECONDS_PER_SECOND)
        if total_ms:
            self._total.observe(labels, total_ms / MILLISECONDS_PER_SECOND)

    def count_attempt(self, target: str, end: str) -> None:
        """Count an attempt at a target."""
        self._attempts.inc({'target': target, 'end': end})

    def set_state(
        self,
        *,
        fact_age_ms: int | None,
        version: int,
        active: int,
        opened: int,
        store_calls: int,
        peers: int,
        waiting: dict[str, int],
    ) -> None:
        """Set the gauges."""
        age_s = UNKNOWN_AGE_S
        if fact_age_ms is not None:
            age_s = fact_age_ms / MILLISECONDS_PER_SECOND
        values = {
            'fact_age_seconds': age_s,
            'configuration_version': version,
            'active_calls': active,
            'opened_connections': opened,
            'store_calls': store_calls,
            'reached_instances': peers,
        }
        for name, value in values.items():
            self._state.set({'name': name}, value)
        for service, count in waiting.items():
            self._waiting.set({'service': service}, count)

    def render(self) -> bytes:
        """Return all metrics in the text form of Prometheus."""
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
