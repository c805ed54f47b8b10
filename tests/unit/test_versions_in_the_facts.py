"""Versions that may have begun a stream, by what an instance has read.

Guards against a stream that goes on at another version, since an instance
takes the version that it sees for the only one there was.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache

TIMEOUT_MS = 15_000
SHORT_TIMEOUT_MS = 3_000
RULES_KEY = 'op/config'
FIRST_REVISION = 10
GAP_MS = 3_000
"""Time in which a version could come and go."""


def decode_target(item: PublishedItem) -> ListedTarget | None:
    """Return a target whose version is the value of an item.

    The configuration is none.

    :raises DocumentError: for the value ``odd``.
    """
    if item.key == RULES_KEY:
        return None
    version = (item.value or b'').decode()
    if version == 'odd':
        raise DocumentError("entry can't be read")
    return ListedTarget(
        item.key, 'chat', '10.0.0.1', 80, 'd', 4, False, version
    )


def build_item(name: str, version: str, revision: int) -> PublishedItem:
    """Return the registration of a target; its removal without a version."""
    return PublishedItem(name, revision, version.encode() or None)


READER = ListedTarget('r', 'chat', '10.0.0.1', 80, 'd', 4, False, 'v1')


class FactsCase(unittest.TestCase):
    """An instance that has read the list for as long as a stream may last."""

    def setUp(self) -> None:
        """Read a list with one target of v1, and follow it."""
        self.clock = PausedClock()
        self.decode_rules = mock.Mock()
        self.facts = FactsCache(
            self.clock,
            self.decode_rules,
            decode_target,
            RULES_KEY,
        )
        self.facts.rules = mock.Mock(longest_timeout_ms=TIMEOUT_MS, version=1)
        self.list(FIRST_REVISION, build_item('a', 'v1', 5))
        self.follow(TIMEOUT_MS)
        self.assertEqual('v1', self.facts.find_only_version('chat'))

    def list(self, revision: int, *items: PublishedItem) -> None:
        """Apply a complete listing."""
        self.facts.apply_listing(items, revision, self.clock.now_ms())

    def watch(self, revision: int, *items: PublishedItem) -> None:
        """Apply the changes of a watch."""
        self.facts.apply_changes(items, revision, self.clock.now_ms())

    def follow(self, duration_ms: int) -> None:
        """Let time pass without a change."""
        self.clock.advance(duration_ms)
        self.watch(self.facts.item_cache.complete_revision)


class ShorterTimeoutTest(FactsCase):
    """A configuration shortens the longest timeout while streams run."""

    def setUp(self) -> None:
        """Let v2 come and go, and halve the timeout 6 s later."""
        super().setUp()
        self.watch(11, build_item('b', 'v2', 11))
        self.follow(1_000)
        self.watch(12, build_item('b', '', 12))
        self.follow(6_000)
        self.decode_rules.return_value = mock.Mock(
            longest_timeout_ms=TIMEOUT_MS // 3,
            version=2,
            customers_by_name={},
        )
        self.watch(13, PublishedItem(RULES_KEY, 13, b'shorter'))

    # Guards against versions, and ends of targets, that are forgotten while
    # streams run that began under the longer timeout.
    def test_timeout_of_before_counts_for_its_own_time(self) -> None:
        """A stream of v2 may still run; it has ended by then."""
        self.assert_unknown()
        self.follow(TIMEOUT_MS - 6_001)
        self.assert_unknown()
        self.follow(6_001 + GAP_MS)
        self.assertEqual('v1', self.facts.find_only_version('chat'))
        self.assertFalse(self.facts.may_have_lost('chat', [READER]))

    def assert_unknown(self) -> None:
        """Check that v2 may have begun a stream."""
        self.assertEqual('', self.facts.find_only_version('chat'))
        self.assertTrue(self.facts.may_have_lost('chat', [READER]))

    # Guards against streams that are refused for longer than they can last.
    def test_shorter_timeout_counts_once_the_longer_one_is_over(self) -> None:
        """It is that of all streams by then."""
        self.follow(TIMEOUT_MS + GAP_MS)
        self.watch(14, build_item('c', 'v3', 14))
        self.watch(15, build_item('c', '', 15))
        self.assert_unknown()
        self.follow(TIMEOUT_MS // 3 + GAP_MS)
        self.assertEqual('v1', self.facts.find_only_version('chat'))
        self.assertFalse(self.facts.may_have_lost('chat', [READER]))


class VersionsInTheFactsTest(FactsCase):
    """The list changes, or changes may have been missed."""

    def assert_unknown_until_window(self) -> None:
        """Check that the version is known again once a stream has ended."""
        self.assertEqual('', self.facts.find_only_version('chat'))
        self.follow(TIMEOUT_MS - 1)
        self.assertEqual('', self.facts.find_only_version('chat'))
        self.follow(1)
        self.assertEqual('v1', self.facts.find_only_version('chat'))

    # Guards against a guess by the time at which the listed targets started.
    def test_instance_that_has_just_started_knows_nothing(self) -> None:
        """Targets of another version may have left just before."""
        facts = FactsCache(
            self.clock,
            mock.Mock(),
            lambda item: ListedTarget(
                item.key, 'chat', '10.0.0.1', 80, 'd', 4, False, 'v1', 1
            ),
            RULES_KEY,
        )
        facts.rules = self.facts.rules
        facts.apply_listing(
            [build_item('a', 'v1', 5)], FIRST_REVISION, self.clock.now_ms()
        )
        self.assertEqual('', facts.find_only_version('chat'))

    # Guards against a version that came and went while the store's history
    # was lost.
    def test_listing_after_a_gap_begins_the_window_anew(self) -> None:
        """A listing shows what there is, not what there was."""
        self.clock.advance(GAP_MS)
        self.list(20, build_item('a', 'v1', 5))
        self.assert_unknown_until_window()

    # Guards against streams that all instances refuse after engines have
    # ended, since the store has just lost its history.
    def test_listing_after_a_short_gap_keeps_the_window(self) -> None:
        """No version can have come and gone."""
        self.clock.advance(GAP_MS - 1)
        self.list(20, build_item('a', 'v1', 5))
        self.assertEqual('v1', self.facts.find_only_version('chat'))

    # Guards against a window that is lost although nothing was missed.
    def test_listing_without_a_change_keeps_the_window(self) -> None:
        """Its revision is the one up to which all is known."""
        self.list(FIRST_REVISION, build_item('a', 'v1', 5))
        self.assertEqual('v1', self.facts.find_only_version('chat'))

    # Guards against the same where a peer sends what exists now.
    def test_items_without_removals_begin_the_window_anew(self) -> None:
        """The peer's own history begins after what is known here."""
        self.clock.advance(GAP_MS)
        self.facts.apply_peer_items(
            [], 20, self.clock.now_ms(), live_keys=['a']
        )
        self.assert_unknown_until_window()

    def shorten_timeouts(self, version: int, revision: int) -> None:
        """Let the operators write a version of the configuration."""
        rules = mock.Mock(
            longest_timeout_ms=SHORT_TIMEOUT_MS,
            version=version,
            customers_by_name={},
        )
        self.facts._decode_rules = mock.Mock(return_value=rules)
        value = str(version).encode()
        self.watch(revision, PublishedItem(RULES_KEY, revision, value))

    # Guards against a version that is forgotten while its streams run, since
    # the operators have just made the timeouts shorter.
    def test_streams_keep_the_timeout_that_they_began_with(self) -> None:
        """An instance may begin one before it learns of the new one."""
        self.watch(11, build_item('b', 'v2', 11))
        self.watch(12, build_item('a', '', 12))
        for version in (2, 3):
            self.shorten_timeouts(version, 11 + version)
            self.follow(SHORT_TIMEOUT_MS)
        self.assertEqual({'v1', 'v2'}, self.facts.list_versions('chat'))
        self.assertEqual('', self.facts.find_only_version('chat'))
        self.follow(TIMEOUT_MS - 2 * SHORT_TIMEOUT_MS)
        self.assertEqual('v2', self.facts.find_only_version('chat'))

    # Guards against a window that never ends while operators write often.
    def test_earlier_timeout_is_forgotten_once_its_streams_have_ended(
        self,
    ) -> None:
        """Later changes of the configuration don't make it last."""
        revision = 11
        for version in range(2, 9):
            self.shorten_timeouts(version, revision + version)
            self.follow(SHORT_TIMEOUT_MS)
        self.watch(41, build_item('b', 'v2', 41))
        self.watch(42, build_item('a', '', 42))
        self.follow(SHORT_TIMEOUT_MS)
        self.assertEqual('v2', self.facts.find_only_version('chat'))

    # Guards against the same where the instance began to follow the list
    # after the streams had begun.
    def test_shorter_timeouts_end_no_window(self) -> None:
        """It is known for how long the list must be followed."""
        self.list(20, build_item('a', 'v1', 5))
        self.facts.target_directory.forget_history(self.clock.now_ms())
        self.shorten_timeouts(2, 21)
        self.assert_unknown_until_window()

    # Guards against a version that came and went between two answers.
    def test_version_within_one_answer_counts(self) -> None:
        """The target was listed, and instances may have used it."""
        self.watch(12, build_item('b', 'v2', 11), build_item('b', '', 12))
        self.assert_unknown_until_window()

    # Guards against a window that never ends, since entries of another writer
    # come and go.
    def test_entry_that_is_no_target_keeps_the_window(self) -> None:
        """No stream can have begun there."""
        self.watch(12, build_item('b', 'odd', 11))
        self.watch(13, build_item('b', '', 13))
        self.assertEqual('v1', self.facts.find_only_version('chat'))

    # Guards against the same where only the removal is passed on.
    def test_removal_of_an_unknown_target_begins_the_window_anew(
        self,
    ) -> None:
        """Its version and its service are not known."""
        self.watch(12, build_item('b', '', 12))
        self.assert_unknown_until_window()


if __name__ == '__main__':
    unittest.main()
