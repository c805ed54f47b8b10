"""Prometheus metrics of an instance."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

LATENCY_BUCKETS_S = [0.01, 0.05, 0.1, 0.39, 1.0, 3.0, 10.0, 30.0]


class Metrics:
    """Metrics that the operators' listener serves.

    :param instance: name of the instance; a label of all metrics.
    """

    def __init__(self, instance: str) -> None:
        self.registry = Registry()
        labels = {'instance': instance}
        self.answers = Counter(
            'lagoonbend_answers_total',
            'Requests answered by a target, by tier.',
            const_labels=labels,
            registry=self.registry,
        )
        self.refusals = Counter(
            'lagoonbend_refusals_total',
            'Requests refused, by tier, code and verdict.',
            const_labels=labels,
            registry=self.registry,
        )
        self.dispatches = Counter(
            'lagoonbend_dispatches_total',
            'Requests written to a target.',
            const_labels=labels,
            registry=self.registry,
        )
        self.tokens = Counter(
            'lagoonbend_relayed_tokens_total',
            'Events relayed to callers.',
            const_labels=labels,
            registry=self.registry,
        )
        self.violations = Counter(
            'lagoonbend_invariant_violations_total',
            'Invariants found broken, by name.',
            const_labels=labels,
            registry=self.registry,
        )
        self.waiting = Gauge(
            'lagoonbend_waiting_requests',
            'Requests in the queue, by tier.',
            const_labels=labels,
            registry=self.registry,
        )
        self.latency = Histogram(
            'lagoonbend_first_byte_seconds',
            'Time from receipt to the first byte of the answer, by tier.',
            const_labels=labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def set_waiting(self, counts: dict[str, int]) -> None:
        """Set the number of waiting requests of each tier; others become 0."""
        for labels, _ in self.waiting.get_all():
            counts.setdefault(labels['tier'], 0)
        for tier, count in counts.items():
            self.waiting.set({'tier': tier}, count)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        content, _ = render(self.registry, ['text/plain'])
        return bytes(content)
