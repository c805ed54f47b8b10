"""Published facts: never older, complete, and with an age."""

import unittest

from lagoonbend.facts import ItemCache
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import TargetDirectory


def read_target(item: PublishedItem) -> ListedTarget | None:
    """Read a test's short form: ``leaving`` or anything else."""
    if item.value is None or item.value == b'unreadable':
        return None
    return ListedTarget(
        item.key, 'desk', '10.0.0.1', 80, 'd', 4, item.value == b'leaving'
    )


class ItemBookTest(unittest.TestCase):
    """Merging by revision."""

    def setUp(self) -> None:
        """Start with one item."""
        self.item_cache = ItemCache()
        self.item_cache.merge([PublishedItem('a', 5, b'new')])
        self.item_cache.mark_verified(5, 1_000)

    def test_older_state_never_returns(self) -> None:
        """A stale read or a peer of the past changes nothing."""
        self.assertEqual(
            [], self.item_cache.merge([PublishedItem('a', 4, b'old')])
        )
        self.assertEqual(
            [], self.item_cache.merge([PublishedItem('a', 5, b'old')])
        )
        found = self.item_cache.find('a')
        assert found is not None
        self.assertEqual(b'new', found.value)

    def test_removed_item_does_not_come_back(self) -> None:
        """The mark of its removal is kept."""
        self.item_cache.merge([PublishedItem('a', 9, None)])
        self.assertEqual(
            [], self.item_cache.merge([PublishedItem('a', 8, b'x')])
        )

    def test_listing_tells_what_was_removed(self) -> None:
        """What is not listed and not newer is gone."""
        self.item_cache.merge(
            [PublishedItem('b', 20, b'newer than the listing')]
        )
        news = self.item_cache.replace('', [PublishedItem('c', 7, b'c')], 10)
        self.assertEqual(
            {('c', b'c'), ('a', None)}, {(i.key, i.value) for i in news}
        )

    def test_proof_of_an_older_revision_proves_nothing(self) -> None:
        """Only a state at least as new tells that ours was the newest."""
        self.item_cache.mark_verified(4, 9_000)
        self.assertEqual(500, self.item_cache.age_ms(1_500))
        self.item_cache.mark_verified(5, 1_400)
        self.assertEqual(100, self.item_cache.age_ms(1_500))

    def test_proof_never_goes_back_in_time(self) -> None:
        """A late answer does not make facts look older than known."""
        self.item_cache.mark_verified(6, 200)
        self.assertEqual(500, self.item_cache.age_ms(1_500))

    def test_changes_since_a_revision_are_complete(self) -> None:
        """A peer that lags gets all it lacks, removals too."""
        self.item_cache.merge([PublishedItem('b', 6, None)])
        self.assertEqual(
            {'a', 'b'}, {item.key for item in self.item_cache.list_since(4)}
        )
        self.assertEqual(
            ['b'], [item.key for item in self.item_cache.list_since(5)]
        )


class TargetDirectoryTest(unittest.TestCase):
    """Which targets may get work."""

    def setUp(self) -> None:
        """Start with two targets."""
        self.directory = TargetDirectory(read_target)
        items = [PublishedItem(name, 1, b'ready') for name in ('s1', 's2')]
        self.directory.apply(items, 0)

    def list_names(self) -> list[str]:
        """Return the targets that may get work."""
        targets = self.directory.list_service('desk')
        return sorted(target.target for target in targets)

    def test_leaving_and_removed_targets_get_nothing(self) -> None:
        """At once, while the platform is sound."""
        self.directory.apply([PublishedItem('s1', 2, b'leaving')], 10)
        self.assertEqual(['s2'], self.list_names())
        self.assertIsNone(self.directory.find('s1'))
        self.directory.apply([PublishedItem('s2', 3, None)], 10)
        self.assertEqual([], self.list_names())

    def test_unreadable_entry_names_no_target(self) -> None:
        """The others hold."""
        self.directory.apply([PublishedItem('s1', 2, b'unreadable')], 10)
        self.assertEqual(['s2'], self.list_names())

    def test_lapsed_entry_stays_usable_for_two_seconds(self) -> None:
        """And then goes, if it has not come back."""
        self.directory.record_outage_end(1_000)
        removals = [PublishedItem(name, 5, None) for name in ('s1', 's2')]
        self.directory.apply(removals, 1_010)
        self.assertEqual(['s1', 's2'], self.list_names())
        self.directory.apply([PublishedItem('s2', 6, b'ready')], 1_500)
        self.directory.expire(2_999)
        self.assertEqual(['s1', 's2'], self.list_names())
        self.directory.expire(3_000)
        self.assertEqual(['s2'], self.list_names())

    def test_target_that_was_leaving_has_not_lapsed(self) -> None:
        """It has gone as it said."""
        self.directory.apply([PublishedItem('s1', 2, b'leaving')], 900)
        self.directory.record_outage_end(1_000)
        self.directory.apply([PublishedItem('s1', 5, None)], 1_010)
        self.assertEqual(['s2'], self.list_names())


if __name__ == '__main__':
    unittest.main()
