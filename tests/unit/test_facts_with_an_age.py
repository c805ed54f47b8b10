"""Merging of published facts: the configuration and the target list.

Reads of the platform's store and replies of peers can be stale or arrive out
of order. The tests guard against older state that replaces newer state,
removed entries that come back, changes that a lagging peer never receives, and
a wrong age of the facts. They also check which targets may receive calls after
an outage of the platform, in which registrations lapse.
"""

import unittest

from lagoonbend.facts import ItemCache
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import TargetDirectory


def read_target(item: PublishedItem) -> ListedTarget | None:
    """Decode an item whose value is a state, such as ``leaving``."""
    if item.value is None or item.value == b'unreadable':
        return None
    return ListedTarget(
        item.key, 'desk', '10.0.0.1', 80, 'd', 4, item.value == b'leaving'
    )


class ItemBookTest(unittest.TestCase):
    """Merging by revision."""

    def setUp(self) -> None:
        """Create a cache with one item."""
        self.item_cache = ItemCache()
        self.item_cache.merge([PublishedItem('a', 5, b'new')])
        self.item_cache.mark_verified(5, 1_000)

    def test_older_state_never_returns(self) -> None:
        """A stale read or a lagging peer changes nothing."""
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
        """The tombstone of an item is kept and compared by revision."""
        self.item_cache.merge([PublishedItem('a', 9, None)])
        self.assertEqual(
            [], self.item_cache.merge([PublishedItem('a', 8, b'x')])
        )

    def test_listing_shows_what_was_removed(self) -> None:
        """An item that is neither listed nor newer was removed."""
        self.item_cache.merge(
            [PublishedItem('b', 20, b'newer than the listing')]
        )
        changed = self.item_cache.replace(
            '', [PublishedItem('c', 7, b'c')], 10
        )
        self.assertEqual(
            {('c', b'c'), ('a', None)}, {(i.key, i.value) for i in changed}
        )

    def test_proof_of_an_older_revision_proves_nothing(self) -> None:
        """Only a state at least as new confirms that ours is current."""
        self.item_cache.mark_verified(4, 9_000)
        self.assertEqual(500, self.item_cache.age_ms(1_500))
        self.item_cache.mark_verified(5, 1_400)
        self.assertEqual(100, self.item_cache.age_ms(1_500))

    def test_proof_never_goes_back_in_time(self) -> None:
        """A late reply does not increase the age of the facts."""
        self.item_cache.mark_verified(6, 200)
        self.assertEqual(500, self.item_cache.age_ms(1_500))

    def test_changes_since_a_revision_are_complete(self) -> None:
        """A lagging peer receives all that it lacks, also removals."""
        self.item_cache.merge([PublishedItem('b', 6, None)])
        self.assertEqual(
            {'a', 'b'}, {item.key for item in self.item_cache.list_since(4)}
        )
        self.assertEqual(
            ['b'], [item.key for item in self.item_cache.list_since(5)]
        )


class TargetDirectoryTest(unittest.TestCase):
    """Which targets may receive calls."""

    def setUp(self) -> None:
        """Create a directory with two targets."""
        self.directory = TargetDirectory(read_target)
        items = [PublishedItem(name, 1, b'ready') for name in ('s1', 's2')]
        self.directory.apply(items, 0)

    def list_names(self) -> list[str]:
        """Return the names of the targets that may receive calls."""
        targets = self.directory.list_service('desk')
        return sorted(target.target for target in targets)

    def test_leaving_and_removed_targets_get_nothing(self) -> None:
        """Without an outage, such targets stop receiving calls at once."""
        self.directory.apply([PublishedItem('s1', 2, b'leaving')], 10)
        self.assertEqual(['s2'], self.list_names())
        self.assertIsNone(self.directory.find('s1'))
        self.directory.apply([PublishedItem('s2', 3, None)], 10)
        self.assertEqual([], self.list_names())

    def test_unreadable_entry_names_no_target(self) -> None:
        """An entry that can't be decoded does not affect the others."""
        self.directory.apply([PublishedItem('s1', 2, b'unreadable')], 10)
        self.assertEqual(['s2'], self.list_names())

    def test_lapsed_entry_stays_usable_for_two_seconds(self) -> None:
        """After an outage, removed targets have 2 s to register again."""
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
        """A target that announced its end is removed without delay."""
        self.directory.apply([PublishedItem('s1', 2, b'leaving')], 900)
        self.directory.record_outage_end(1_000)
        self.directory.apply([PublishedItem('s1', 5, None)], 1_010)
        self.assertEqual(['s2'], self.list_names())


if __name__ == '__main__':
    unittest.main()
