"""Calls that wait for slots at an instance."""

import pathlib
import types
from typing import cast
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimits
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import KEPT_PROMPTS
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination.schedulers import PoolSchedulers
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway import Gateway
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry.settings import read_gateway_settings

DOMAINS = ('d0', 'd1')
TARGETS = [
    ListedTarget(f't-{domain}', 's', '10.0.0.1', 80, domain, 1, False)
    for domain in DOMAINS
]
FACTS = types.SimpleNamespace(
    rules=None,
    cold_targets=None,
    target_directory=types.SimpleNamespace(list_service=lambda name: TARGETS),
)


def build_schedulers() -> PoolSchedulers:
    """Return schedulers that have no pool yet."""
    return PoolSchedulers(
        cast(FactsCache, FACTS),
        PausedClock(),
        SharedLimits(LimitTolerance()),
        Invariants(strict=True),
        lambda decision: None,
        lambda: None,
        NamedLimits(PausedClock()),
    )


def submit(schedulers: PoolSchedulers, pool: Pool, number: int) -> None:
    """Submit a call."""
    request = SlotRequest(
        call=f'{pool.name}-{number}',
        instance='i0',
        failure_domain='d0',
        pool=pool.name,
        rank=0,
        route_rank=0,
        customer='',
        cost_units=0.0,
        waited_ms=0,
        objective_ms=1_000,
        deadline_ms=5_000,
    )
    schedulers.submit(request, None)


class WaitingCallsTest(unittest.TestCase):
    """Counts by service."""

    def test_calls_of_all_pools_of_a_service_count(self) -> None:
        """Guards against a count of the last pool of a service alone."""
        schedulers = build_schedulers()
        for domain in DOMAINS:
            for number in range(2):
                submit(schedulers, Pool('s', domain), number)
        self.assertEqual({'s': 2}, schedulers.count_waiting())

    def test_share_holds_for_a_new_pool(self) -> None:
        """Guards against all slots of a target that is new to an instance."""
        schedulers = build_schedulers()
        schedulers.run_cycle(0.5, 0.5, frozenset())
        for number in range(2):
            submit(schedulers, Pool('s'), number)
        self.assertEqual({'s': 1}, schedulers.count_waiting())

    def test_service_that_is_gone_has_no_waiting_calls(self) -> None:
        """Guards against the last value of a pool decided elsewhere since."""
        metrics = GatewayMetrics()
        counts: tuple[dict[str, int], ...] = ({'s': 3}, {})
        for waiting in counts:
            metrics.set_state(
                fact_age_ms=0,
                version=1,
                active_calls=0,
                opened_connections=0,
                store_calls=0,
                reached_instances=1,
                evacuated_domains=0,
                cold_targets=0,
                sent_item_bytes=0,
                received_item_bytes=0,
                waiting_by_service=waiting,
            )
        self.assertIn(
            b'lagoonbend_waiting_calls{service="s"} 0', metrics.render()
        )

    def test_setting_for_cached_prompts_reaches_new_pools(self) -> None:
        """Guards against a setting or counts that stay unused."""
        path = pathlib.Path(__file__).parents[2] / 'samples' / 'platform.ini'
        settings = read_gateway_settings(path)
        for name in ('off', 'on'):
            scheduling = settings.scheduling._replace(kept_prompts=name)
            gateway = Gateway(settings._replace(scheduling=scheduling), path)
            schedulers = gateway._coordinator.pool_schedulers
            schedulers.kept_prompt_totals.waits = 3
            scheduler = schedulers.get_or_create('s')
            self.assertIs(KEPT_PROMPTS[name], type(scheduler.kept_prompts))
            self.assertIn(b'kept_prompt_waits"} 3', gateway._render_metrics())


if __name__ == '__main__':
    unittest.main()
