"""Pages of the store that are given up, as they arrive too slowly."""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.gateway import store_watcher
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.models import store_error
from lagoonbend_entry._internal.models.items_page import ItemsPage

LISTED = ItemsPage(
    tuple(PublishedItem(name, 3, b'ready', 1) for name in ('s1', 's2')),
    5,
    False,
    1,
)
REMOVED = ItemsPage((PublishedItem('s1', 6, None, 1),), 6, False, 1)


def decode_target(item: PublishedItem) -> ListedTarget:
    """Return a target that is named as its item."""
    return ListedTarget(item.key, 'desk', '10.0.0.1', 80, 'a', 4, False)


class SlowPagesTest(unittest.TestCase):
    """A watcher with its facts, and a client that is played."""

    def setUp(self) -> None:
        """List two targets, with no event written and no time spent."""
        for name in ('log_event', '_sleep'):
            patch = mock.patch.object(store_watcher, name)
            patch.start()
            self.addCleanup(patch.stop)
        clock = PausedClock(1_000_000)
        self.facts = FactsCache(clock, mock.Mock(), decode_target, 'rules')
        self.client = mock.Mock(newest_era=1)
        self.client.list_items.return_value = LISTED
        self.watcher = store_watcher.StoreWatcher(
            self.facts, self.client, clock, lambda: True
        )
        self.watcher._run_once()

    def list_after(self, *answers: ItemsPage | PlatformError) -> list[str]:
        """Return the usable targets after some answers to watches."""
        self.client.watch.side_effect = answers
        for _ in answers:
            self.watcher._run_once()
        targets = self.facts.target_directory.list_service('desk')
        return [target.target for target in targets]

    # Guards against requests to a target that has gone, since a page that
    # this instance has given up counts as an outage of the store.
    def test_removed_target_is_not_used_after_a_slow_page(self) -> None:
        """The store was up, so the registration has not lapsed."""
        slow = store_error.PageTooSlowError('answer takes too long')
        self.assertEqual(['s2'], self.list_after(slow, slow, REMOVED))

    def test_removed_target_may_have_lapsed_in_an_outage(self) -> None:
        """It stays usable for some time after the store's return."""
        down = PlatformError('connection refused')
        self.assertEqual(['s1', 's2'], self.list_after(down, REMOVED))


if __name__ == '__main__':
    unittest.main()
