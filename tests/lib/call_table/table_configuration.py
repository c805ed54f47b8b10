"""Configuration of one batch of cells."""

from collections.abc import Sequence
from typing import NamedTuple

from tests.lib.call_table.route_kind import RouteKind

HOST = 'calls.example'
SPARE_SERVICE = 'spare'
STRICT_OBJECTIVE_MS = 300
STRICT_GAP_OBJECTIVE_MS = 400
LAX_OBJECTIVE_MS = 4_000
"""With it, no time limit on a target's silence ends while a call is held."""


class TableRoute(NamedTuple):
    """A route with a service of its own.

    :param kind: kind of the route.
    :param variant: part of the name; routes of two variants share no target.
    :param is_strict: True for short objectives, so that limits on a target's
        silence matter; False if only the strike shall matter.
    :param has_free_slots: False if all slots of the service shall be taken.
    """

    kind: RouteKind
    variant: str
    is_strict: bool
    has_free_slots: bool = True

    @property
    def name(self) -> str:
        """Name of the route and of its service."""
        suffix = '' if self.has_free_slots else '.full'
        return f'{self.kind.name}.{self.variant}{suffix}'

    @property
    def blocker_name(self) -> str:
        """Name of the route whose calls take the slots."""
        return f'block.{self.name}'


class TableConfiguration:
    """Builds versions of the operators' configuration.

    :param batch: name of the batch, prefixed to all names.
    :param routes: routes of the batch.
    """

    def __init__(self, batch: str, routes: Sequence[TableRoute]) -> None:
        self.batch = batch
        self.routes = routes
        self.key = f'k-{batch}'
        self.timeout_ms = 20_000
        self.idle_timeout_ms = 8_000
        self.body_bytes = 100_000
        self.rate_per_s = 10_000
        self.has_key = True
        self.has_routes = True
        self.has_services = True
        self.is_moved = False

    def qualify(self, name: str) -> str:
        """Return a name that is unique among batches."""
        return f'{self.batch}.{name}'

    def list_services(self) -> list[str]:
        """Return all services whose targets are registered."""
        names = [route.name for route in self.routes]
        return [self.qualify(name) for name in (*names, SPARE_SERVICE)]

    def build(self, version: int) -> dict[str, object]:
        """Return the document of a version."""
        services = [self.qualify(SPARE_SERVICE)]
        if self.has_services:
            services = self.list_services()
        routes: list[dict[str, object]] = []
        if self.has_routes:
            routes = [
                self._build_route(route, route.name) for route in self.routes
            ]
        routes.extend(
            self._build_route(route, route.blocker_name, is_blocker=True)
            for route in self.routes
            if not route.has_free_slots
        )
        return {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'max-connections': 500} for name in services
            ],
            'limits': {
                'max-header-bytes': 8_192,
                'max-body-bytes': self.body_bytes,
                'header-timeout-ms': 3_000,
                'idle-timeout-ms': self.idle_timeout_ms,
            },
            'tenants': [
                {
                    'name': f'customer-{self.batch}',
                    'api-keys': [self.key] if self.has_key else ['k-other'],
                    'rate-per-s': self.rate_per_s,
                    'burst': self.rate_per_s,
                },
                {'name': 'blocker', 'api-keys': ['k-blocker']},
            ],
        }

    def _build_route(
        self, route: TableRoute, name: str, *, is_blocker: bool = False
    ) -> dict[str, object]:
        service = route.name
        if self.is_moved or not self.has_services:
            service = SPARE_SERVICE
        is_strict = route.is_strict and not is_blocker
        return {
            'name': name,
            'hostname': HOST,
            'prefix': f'/{name}/',
            'route-kind': 'unsafe' if is_blocker else route.kind.kind,
            'timeout-ms': self.timeout_ms,
            'target-latency-ms': (
                STRICT_OBJECTIVE_MS if is_strict else LAX_OBJECTIVE_MS
            ),
            'priority': 0,
            'service': self.qualify(service),
            'max-attempts': 1 if is_blocker else route.kind.attempt_limit,
            'public': False,
            'sticky': False,
            'resumable': route.kind.is_resumable and not is_blocker,
            'gap-target-ms': (
                STRICT_GAP_OBJECTIVE_MS if is_strict else LAX_OBJECTIVE_MS
            ),
        }
