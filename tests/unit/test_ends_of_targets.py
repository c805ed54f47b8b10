"""Targets that have ended while a stream may have begun there.

Guards against a stream that goes on at a version which has read its prompt,
since an instance takes the targets that are listed for all there were.
"""

from collections.abc import Callable
import unittest
from unittest import mock

from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import NO_ERA
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.gateway.history_reader import HistoryReader
from lagoonbend_entry._internal.models.items_page import ItemsPage
from lagoonbend_entry._internal.models.store_error import HistoryLostError
from tests.unit import test_versions_in_the_facts

TIMEOUT_MS = test_versions_in_the_facts.TIMEOUT_MS
END_TIME_MS = TIMEOUT_MS + test_versions_in_the_facts.GAP_MS
"""Time for which the end of a target counts. Instances whose list is older may
begin streams there after it."""
HISTORY_MS = 20_000
MAX_READS = 40
build_item = test_versions_in_the_facts.build_item


class EndsCase(test_versions_in_the_facts.FactsCase):
    """An instance that asks for the ends of targets."""

    def may_have_lost(self, version: str = 'v1', born_ms: int = 0) -> bool:
        """Return True if a reader of a version shows nothing.

        :param born_ms: start of the reader; 0 if it isn't known.
        """
        reader = test_versions_in_the_facts.decode_target(
            build_item('r', version, 1)
        )
        assert reader is not None
        return self.facts.may_have_lost(
            'chat', [reader._replace(born_ms=born_ms or None)]
        )


class EndsOfTargetsTest(EndsCase):
    """An instance that has followed the list for long."""

    def setUp(self) -> None:
        """Follow the list for as long as the ends of targets count."""
        super().setUp()
        self.follow(test_versions_in_the_facts.GAP_MS)

    def assert_lost_for_window(self, version: str = 'v1') -> None:
        """Check that an end counts for as long as a stream may last."""
        self.assertTrue(self.may_have_lost(version))
        self.follow(END_TIME_MS - 1)
        self.assertTrue(self.may_have_lost(version))
        self.follow(1)
        self.assertFalse(self.may_have_lost(version))

    def test_removal_counts_for_other_versions(self) -> None:
        """Whether another target of the version stays or not."""
        self.watch(11, build_item('b', 'v2', 11), build_item('c', 'v2', 11))
        self.assertFalse(self.may_have_lost())
        self.watch(12, build_item('b', '', 12))
        self.assertFalse(self.may_have_lost('v2'))
        self.assert_lost_for_window()

    # Guards against streams of a release that are refused after a restart of
    # all, since the targets that were replaced have ended.
    def test_target_that_started_before_the_readers_does_not_count(
        self,
    ) -> None:
        """It gets no more calls once they have replaced it."""
        decode = self.facts.target_directory._decode
        self.facts.target_directory._decode = lambda item: (
            (target := decode(item)) and target._replace(born_ms=100)
        )
        self.watch(11, build_item('b', 'v2', 11))
        self.watch(12, build_item('b', '', 12))
        self.assertFalse(self.may_have_lost(born_ms=101))
        for born_ms in (100, 99, 0):
            self.assertTrue(self.may_have_lost(born_ms=born_ms))

    def test_new_version_under_an_identity_ends_the_old_one(self) -> None:
        """The target has started again, without its memory."""
        self.watch(11, build_item('a', 'v2', 11))
        self.assert_lost_for_window('v2')

    def test_unreadable_entry_ends_the_target(self) -> None:
        """Nobody can be asked then."""
        self.watch(11, build_item('b', 'v2', 11))
        self.watch(12, build_item('b', 'odd', 12))
        self.assert_lost_for_window()

    # Guards against a target of the era before that is written again later.
    def test_store_that_comes_back_from_a_copy_shows_no_ends(self) -> None:
        """What its writers wrote since the copy may still be missing."""
        for era in (1, 2):
            self.facts.apply_listing(
                [build_item('a', 'v1', 5)._replace(era=era)],
                8,
                self.clock.now_ms(),
                era,
            )
        self.assertTrue(self.may_have_lost())

    def test_old_facts_tell_nothing(self) -> None:
        """A target may have ended since."""
        self.assertFalse(self.may_have_lost())
        self.clock.advance(test_versions_in_the_facts.GAP_MS)
        self.assertTrue(self.may_have_lost())


class HistoryReaderTest(EndsCase):
    """An instance that has just started, and the store's history."""

    def setUp(self) -> None:
        """List the targets for the first time."""
        super().setUp()
        self.client = mock.Mock()
        self.client.watch.side_effect = self.answer
        self.oldest = 0
        self.changes: tuple[PublishedItem, ...] = (build_item('a', 'v1', 5),)
        self.restart()

    def restart(self, history_ms: int = HISTORY_MS) -> None:
        """Forget all, as after a start, and read the list anew."""
        reader = HistoryReader(self.facts, self.client, self.clock, history_ms)
        self.facts.read_history = reader.read
        self.facts.target_directory.forget_history(self.clock.now_ms())

    def answer(self, prefix: str, revision: int, wait_ms: int) -> ItemsPage:
        """Answer with the changes after a revision, if the store has them."""
        if revision < self.oldest:
            raise HistoryLostError('gone', context='history')
        changes = tuple(c for c in self.changes if c.revision > revision)
        return ItemsPage(changes, 20, False, NO_ERA)

    def test_history_without_an_end_shows_that_nothing_was_lost(self) -> None:
        """It is read once."""
        self.assertFalse(self.may_have_lost())
        reads = self.client.watch.call_count
        self.assertFalse(self.may_have_lost())
        self.assertEqual(reads, self.client.watch.call_count)

    def test_end_in_the_history_counts(self) -> None:
        """Of a target that was registered in that time, or before."""
        registered = build_item('b', 'v2', 7)
        removed = build_item('b', '', 8)
        ends: tuple[tuple[PublishedItem, ...], ...] = (
            (registered, removed),
            (removed,),
            (build_item('a', 'v2', 4), build_item('a', 'v1', 5)),
        )
        for changes in ends:
            with self.subTest(changes=changes):
                self.restart()
                self.changes = changes
                self.assertTrue(self.may_have_lost())
                self.follow(END_TIME_MS)
                self.assertFalse(self.may_have_lost())

    def may_have_lost_before_history(
        self,
        *created: int | None,
        era: int = NO_ERA,
    ) -> bool:
        """Return True if an unknown target may have begun a stream.

        The history has the removal of that target, and a write of each reader.

        :param created: revision at which each reader was written first.
        :param era: era of the readers' writes.
        """
        self.restart()
        self.oldest = 6
        writes = [
            build_item(f'r{number}', 'v1', 8 + number)._replace(
                era=era, created_revision=revision
            )
            for number, revision in enumerate(created)
        ]
        self.changes = (*writes, build_item('b', '', 19))
        reader = test_versions_in_the_facts.READER._replace(born_ms=100)
        readers = [reader._replace(target=write.key) for write in writes]
        return self.facts.may_have_lost('chat', readers)

    # Guards against streams of a release that are refused after a restart of
    # all, since a target was removed whose entry is older than the history.
    def test_target_from_before_the_history_is_older_than_readers_in_it(
        self,
    ) -> None:
        """All readers have registered since."""
        self.assertFalse(self.may_have_lost_before_history(8))
        self.assertFalse(self.may_have_lost_before_history(7, 9))

    # Guards against a stream that goes on at another version, since a reader
    # is taken for newer than a target that has begun it and ended.
    def test_reader_from_before_the_history_may_be_older(self) -> None:
        """Its entry has only been written anew, or that isn't known."""
        for created in ((6,), (1,), (8, 6), (None,), (8, None)):
            with self.subTest(created=created):
                self.assertTrue(self.may_have_lost_before_history(*created))

    def test_revisions_of_another_era_have_no_order(self) -> None:
        """They are given out again."""
        self.assertTrue(self.may_have_lost_before_history(8, era=NO_ERA + 1))

    # Guards against streams that are refused for longer than they can last,
    # since the history is read again.
    def test_unknown_end_counts_from_when_it_was_read_first(self) -> None:
        """Later readings of the same removal tell nothing new."""
        self.assertTrue(self.may_have_lost_before_history(6))
        self.follow(END_TIME_MS - 1)
        self.assertTrue(self.may_have_lost_before_history(6))
        self.follow(1)
        self.assertFalse(self.may_have_lost_before_history(6))

    def test_all_that_the_store_still_has_is_read(self) -> None:
        """Whatever the oldest revision is, in few reads."""
        for oldest in range(test_versions_in_the_facts.FIRST_REVISION + 1):
            self.restart()
            self.oldest = oldest
            self.changes = (build_item('b', '', oldest + 1),)
            self.client.watch.reset_mock()
            with self.subTest(oldest=oldest):
                is_new = oldest < test_versions_in_the_facts.FIRST_REVISION
                lost = self.may_have_lost()
                self.assertTrue(lost or not is_new)
                self.assertLess(self.client.watch.call_count, MAX_READS)
            self.follow(END_TIME_MS)

    def test_store_that_does_not_tell_shows_nothing(self) -> None:
        """It doesn't answer, has no history at all, or is of another era."""
        answers: tuple[Callable[..., ItemsPage] | Exception, ...] = (
            PlatformError('status 503'),
            HistoryLostError('gone', context='history'),
            lambda *unused: ItemsPage((), 20, False, NO_ERA + 1),
        )
        for answer in answers:
            self.client.watch.side_effect = answer
            with self.subTest(answer=answer):
                self.clock.advance(1)
                self.assertTrue(self.may_have_lost())

    # Guards against an end in a part of the history that wasn't read.
    def test_answer_that_is_no_whole_history_shows_nothing(self) -> None:
        """It stops before what was listed, or has changes in no known form."""
        listed = test_versions_in_the_facts.FIRST_REVISION
        for revision, rejected in ((listed - 1, ()), (20, ('odd change',))):
            self.client.watch.side_effect = (
                lambda *unused, r=revision, x=(rejected): ItemsPage(
                    (), r, False, NO_ERA, x
                )
            )
            with self.subTest(revision=revision, rejected=rejected):
                self.clock.advance(1)
                self.assertTrue(self.may_have_lost())

    def test_history_that_is_too_short_shows_nothing(self) -> None:
        """The stream may have begun before."""
        self.restart(END_TIME_MS - 1)
        self.assertTrue(self.may_have_lost())
        self.follow(1)
        self.assertFalse(self.may_have_lost())


del EndsCase


if __name__ == '__main__':
    unittest.main()
