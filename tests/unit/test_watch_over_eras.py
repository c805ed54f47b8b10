"""Requests to a store whose answers come from several eras.

Guards against a loop without a pause, and a late proof after a new era.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ItemCache
from lagoonbend_entry._internal.gateway import store_watcher
from lagoonbend_entry._internal.models.items_page import ItemsPage


class WatchOverErasTest(unittest.TestCase):
    """A watcher whose client is played."""

    def setUp(self) -> None:
        """Know era 1, with no event written and no time spent."""
        self.client = mock.Mock(newest_era=1)
        self.facts = mock.Mock(item_cache=ItemCache(), is_settling=False)
        self.facts.age_ms.return_value = None
        self.facts.item_cache.mark_verified(5, 0, 1)
        self.watcher = store_watcher.StoreWatcher(
            self.facts, self.client, PausedClock(0), lambda: True
        )
        for name in ('log_event', '_sleep'):
            patch = mock.patch.object(store_watcher, name)
            patch.start()
            self.addCleanup(patch.stop)

    def test_listing_of_an_earlier_era_than_seen(self) -> None:
        """It is repeated after a pause that doubles."""
        self.client.newest_era = 2
        self.client.list_items.return_value = ItemsPage((), 5, False, 1)
        for _ in range(3):
            self.watcher._run_once()
        self.assertEqual(
            [mock.call(100), mock.call(200), mock.call(400)],
            store_watcher._sleep.mock_calls,  # type: ignore[attr-defined]
        )

    def test_watch_after_a_new_era_is_short(self) -> None:
        """Whether a watch or a listing shows the era."""
        self.watcher._needs_listing = False
        self.client.watch.return_value = ItemsPage((), 3, False, 2)
        self.watcher._run_once()
        self.assertEqual(300, self.watcher._get_watch_wait_ms())
        self.watcher._needs_short_watch = False
        self.client.newest_era = 2
        self.client.list_items.return_value = ItemsPage((), 3, False, 2)
        self.watcher._run_once()
        self.assertEqual(300, self.watcher._get_watch_wait_ms())


if __name__ == '__main__':
    unittest.main()
