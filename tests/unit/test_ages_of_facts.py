"""Ages of the facts under the bounds of a deployment."""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.coordination import peer_links
from lagoonbend_entry._internal.gateway import store_watcher
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.fact_ages import FactAges
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.models.items_page import ItemsPage
from lagoonbend_entry._internal.settings.bounds_settings import BoundsSettings

BOUNDS_MS = (2_000, 3_000, 4_000)
READ_MS = 700
"""Timeout of the store for an answer."""


class AgesOfFactsTest(unittest.TestCase):
    """Instances under bounds that differ."""

    def find_read_ms(self, ages: FactAges) -> int:
        """Return when an instance reads the store whose peers are silent."""
        clock = PausedClock(0)
        facts = mock.Mock(is_settling=False)
        facts.item_cache.position = (1, 5)
        facts.age_ms = clock.now_ms
        client = mock.Mock(newest_era=1)
        client.list_items.return_value = ItemsPage((), 5, False, 1)
        watcher = store_watcher.StoreWatcher(
            facts, client, clock, lambda: False, ages
        )
        with mock.patch.object(store_watcher, '_sleep', clock.advance):
            while not client.list_items.called:
                watcher._run_once()
        return clock.now_ms()

    # Guards against a change that is late at an instance without news, which
    # reads the store when the bound has passed.
    def test_silent_peers_leave_time_to_read_the_store(self) -> None:
        """The store is read before the bound of either kind of change."""
        for bound_ms in BOUNDS_MS:
            for bounds in (
                BoundsSettings(config_apply_ms=bound_ms, drain_ms=9_000),
                BoundsSettings(config_apply_ms=9_000, drain_ms=bound_ms),
            ):
                with self.subTest(bounds=bounds):
                    read_ms = self.find_read_ms(FactAges.from_config(bounds))
                    self.assertLessEqual(read_ms + READ_MS, bound_ms)

    def test_proofs_arrive_before_the_store_is_read(self) -> None:
        """A reader's watch and a heartbeat take less, where both fit."""
        for bound_ms, heartbeat_ms in (
            (2_000, peer_links.PING_INTERVAL_MS),
            (3_000, peer_links.GOSSIP_PING_INTERVAL_MS),
            (4_000, peer_links.GOSSIP_PING_INTERVAL_MS),
        ):
            bounds = BoundsSettings(
                config_apply_ms=bound_ms, drain_ms=bound_ms
            )
            ages = FactAges.from_config(bounds)
            wait_ms = ages.get_watch_wait_ms(heartbeat_ms)
            self.assertLess(wait_ms + heartbeat_ms, ages.max_peer_ms)

    # Guards against a request that is rejected for good by rules that may
    # have been replaced longer ago than the bound.
    def test_no_final_rejection_beyond_the_bound(self) -> None:
        """An unknown route gets a 503 then, which may be sent again."""
        for bound_ms in BOUNDS_MS:
            bounds = BoundsSettings(config_apply_ms=bound_ms)
            ages = FactAges.from_config(bounds)
            for age_ms, is_final in (
                (bound_ms, False),
                (None, False),
                (1_500, True),
            ):
                reason = Admission.reject_if_current(
                    RefusalReason.NO_ROUTE, age_ms, ages
                )
                self.assertEqual(is_final, reason is RefusalReason.NO_ROUTE)


if __name__ == '__main__':
    unittest.main()
