"""Streams that are taken up at an instance that is out of step.

Guards against a stream that goes on at the version that the instance knows,
since it has missed another one: it was cut off from the others and from the
store, or stood still, while targets joined and streams began there.
"""

from unittest import mock

import gevent
import gevent.event

from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import NO_ERA
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import StreamOrigin
from lagoonbend.facts import VersionBinding
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.gateway.facts_confirmer import FactsConfirmer
from lagoonbend_entry._internal.gateway.resumed_streams import ResumedStreams
from lagoonbend_entry._internal.models.items_page import ItemsPage
from tests.unit import test_versions_in_the_facts

OUT_OF_STEP_MS = 2_000
"""Shorter than the age from which facts count for nothing."""
JOINED = test_versions_in_the_facts.build_item('b', 'v2', 11)


class OldFactsCase(test_versions_in_the_facts.FactsCase):
    """An instance that has followed a list of one version for long."""

    def setUp(self) -> None:
        """Let no peer know the stream, and no target its prompt."""
        super().setUp()
        self.client = mock.Mock()
        self.client.watch.side_effect = PlatformError('timed out')
        self.confirmer = FactsConfirmer(self.facts, self.client, self.clock)
        self.facts.confirm = self.confirmer.confirm
        self.origins = mock.Mock()
        self.origins.find.return_value = None
        self.origins.search.return_value = None
        self.peers_know('')
        self.clock.advance(OUT_OF_STEP_MS)

    def peers_know(self, version: str) -> None:
        """Let peers answer that a version has been the only one."""
        versions = frozenset({version} if version else ())
        self.origins.ask.return_value = origin_exchange.OriginAnswer(
            None, versions
        )

    def store_has(self, *items: PublishedItem) -> None:
        """Let the store answer with the changes since the last ones."""
        self.client.watch.side_effect = None
        self.client.watch.return_value = ItemsPage(items, 20, False, NO_ERA)

    def take_up(self) -> VersionBinding | None:
        """Return the version that a stream is bound to."""
        call = mock.Mock(service='chat', customer=None)
        call.headers.last_event = '1'
        call.headers.continued_attempt = 'a1'
        call.headers.prompt = (mock.Mock(),)
        return ResumedStreams(self.facts, self.origins).find(call)


class StreamsTakenUpWithOldFactsTest(OldFactsCase):
    """The facts are two seconds old."""

    def test_version_that_nobody_confirms_is_no_answer(self) -> None:
        """The stream is refused, whatever the peers within reach say."""
        self.assertIsNone(self.take_up())
        self.peers_know('v1')
        self.assertIsNone(self.take_up())

    def test_version_that_the_store_confirms_is_used(self) -> None:
        """It costs one read."""
        self.store_has()
        self.assertEqual(VersionBinding('v1'), self.take_up())
        self.client.watch.assert_called_once()

    def test_version_that_has_joined_is_seen(self) -> None:
        """Two versions may have begun the stream."""
        self.store_has(JOINED)
        self.assertIsNone(self.take_up())
        self.assertEqual({'v1', 'v2'}, self.facts.list_versions('chat'))

    def test_origin_that_a_peer_knows_needs_no_read(self) -> None:
        """The peer has been told by the instance that began it."""
        origin = StreamOrigin(1, 'v2', self.clock.now_ms() + 1_000)
        self.origins.find.return_value = origin
        self.assertEqual(VersionBinding('v2'), self.take_up())
        self.client.watch.assert_not_called()

    def test_several_versions_need_no_read(self) -> None:
        """Peers and targets are asked."""
        self.watch(11, JOINED)
        self.take_up()
        self.client.watch.assert_not_called()
        self.origins.ask.assert_called_once()


class FactsConfirmerTest(OldFactsCase):
    """Callers ask whether the facts are current."""

    def setUp(self) -> None:
        """Let the store answer when the test says so."""
        super().setUp()
        self.answered = gevent.event.Event()
        self.client.watch.side_effect = self.answer_later

    def answer_later(self, *unused: object) -> ItemsPage:
        """Answer once the test says so."""
        self.answered.wait()
        return ItemsPage((), 20, False, NO_ERA)

    def test_callers_share_a_read_that_begins_after_they_ask(self) -> None:
        """Those that ask during the first one get the second one."""
        first = gevent.spawn(self.confirmer.confirm)
        gevent.idle()
        self.clock.advance(1)
        others = [gevent.spawn(self.confirmer.confirm) for _ in range(9)]
        gevent.idle()
        self.clock.advance(1)
        self.answered.set()
        gevent.joinall([first, *others])
        self.assertTrue(all(item.value for item in (first, *others)))
        self.assertEqual(2, self.client.watch.call_count)

    def test_interrupted_read_leaves_no_answer_behind(self) -> None:
        """Its connection is closed, and the next read confirms."""
        first = gevent.spawn(self.confirmer.confirm)
        gevent.idle()
        first.kill()
        self.client.close.assert_called_once()
        self.answered.set()
        self.clock.advance(1)
        self.assertTrue(self.confirmer.confirm())

    def test_failed_read_confirms_nothing(self) -> None:
        """Nor does an answer of another era of the store."""
        self.client.watch.side_effect = PlatformError('status 503')
        self.assertFalse(self.confirmer.confirm())
        self.clock.advance(1)
        self.client.watch.side_effect = None
        self.client.watch.return_value = ItemsPage((), 1, False, NO_ERA + 1)
        self.assertFalse(self.confirmer.confirm())


del OldFactsCase
