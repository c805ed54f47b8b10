"""Origins of streams that callers take up, as instances remember them.

Guards against a stream that goes on at another software version because its
origin is lost or taken for that of another stream, and against a memory that
grows without a bound.
"""

import unittest

import gevent
import msgspec

from lagoonbend.clock import PausedClock
from lagoonbend.facts import compute_origin_key
from lagoonbend.facts import StreamOrigin
from lagoonbend.facts import StreamOrigins
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import origin_exchange

KEY = compute_origin_key('first', 'chat', 'a1')
PEERS = ('peer-1', 'peer-2')
BLOCK = PromptBlock('bb02', 1_030)


class StreamOriginsTest(unittest.TestCase):
    """The memory of one instance, on a paused clock."""

    def setUp(self) -> None:
        """Create an empty memory."""
        self.clock = PausedClock()
        self.origins = StreamOrigins(self.clock)

    def test_customers_may_use_one_identity(self) -> None:
        """Each finds the stream of its own, in the service of its own."""
        other_keys = (
            compute_origin_key('second', 'chat', 'a1'),
            compute_origin_key('first', 'desk', 'a1'),
            compute_origin_key('firstc', 'hat', 'a1'),
        )
        self.origins.add([StreamOrigin(KEY, 'v1', 1_000)])
        for key in other_keys:
            self.assertIsNone(self.origins.find(key))
        found = self.origins.find(KEY)
        self.assertEqual('v1', found.version if found else None)

    def test_origin_ends_with_the_time_of_its_stream(self) -> None:
        """It isn't found any more, and its memory is freed."""
        now_ms = self.clock.now_ms()
        self.origins.add([StreamOrigin(KEY, 'v1', now_ms + 1_000)])
        self.clock.advance(1_000)
        self.assertIsNone(self.origins.find(KEY))
        self.origins.add([StreamOrigin(1, 'v1', now_ms + 9_000)])
        self.assertEqual(1, len(self.origins))

    def test_memory_is_bounded(self) -> None:
        """The oldest origins are dropped first."""
        self.origins.add(StreamOrigin(n, 'v1', 10**9) for n in range(30_000))
        self.assertEqual(20_000, len(self.origins))
        self.assertIsNone(self.origins.find(9_999))
        self.assertIsNotNone(self.origins.find(10_000))


class OriginExchangeTest(unittest.TestCase):
    """One instance with two peers, which the test plays."""

    def setUp(self) -> None:
        """Create an exchange for a service with one version."""
        self.clock = PausedClock()
        self.sent: list[tuple[str, messages.Message]] = []
        self.is_mixed = False
        self.unreachable: set[str] = set()
        self.searcher = ''
        self.searches: list[tuple[str, PromptBlock]] = []
        self.exchange = origin_exchange.OriginExchange(
            self.clock,
            (lambda key: list(PEERS), lambda service: self.searcher),
            self.send,
            lambda service: 'v1',
            lambda service: self.is_mixed,
        )
        self.exchange.search_prompt = self.search_prompt
        self.exchange.start()
        self.origin = StreamOrigin(KEY, 'v1', self.clock.now_ms() + 9_000)

    def send(self, peer: str, message: messages.Message) -> bool:
        """Record a message."""
        self.sent.append((peer, message))
        return peer not in self.unreachable

    def search_prompt(self, service: str, block: PromptBlock) -> str:
        """Record a question to the targets; v2 has read all prompts."""
        self.searches.append((service, block))
        return 'v2'

    def search(self) -> str:
        """Return the version that a search for the prompt finds."""
        origin = self.exchange.search(KEY, 'chat', BLOCK)
        return origin.version if origin else ''

    def test_nothing_is_sent_while_a_service_has_one_version(self) -> None:
        """Any target can continue its streams."""
        self.exchange.record('chat', self.origin)
        gevent.sleep(0.05)
        self.assertEqual([], self.sent)

    def test_streams_that_run_are_sent_once_a_second_one_appears(self) -> None:
        """They began before anyone had to remember their version."""
        self.exchange.record('chat', self.origin)
        self.is_mixed = True
        self.exchange.apply_facts()
        gevent.sleep(0.05)
        self.assertEqual(list(PEERS), [peer for peer, _ in self.sent])

    def test_origin_is_sent_before_an_event_can_arrive(self) -> None:
        """The first one after a pause doesn't wait for a batch."""
        self.is_mixed = True
        self.exchange.record('chat', self.origin)
        gevent.sleep(0)
        gevent.sleep(0)
        self.assertEqual(list(PEERS), [peer for peer, _ in self.sent])

    def test_first_peer_that_knows_a_stream_is_enough(self) -> None:
        """The instance doesn't wait for the others."""
        asking = gevent.spawn(self.exchange.ask, KEY, 'chat')
        gevent.sleep(0)
        left = messages.WireOrigin(KEY, 'v1', 9_000)
        self.exchange.handle_answer(
            'peer-2', messages.OriginFound(KEY, [left], '')
        )
        answer = asking.get(timeout=0.1)
        self.assertEqual('v1', answer.origin.version)

    def test_stream_that_no_peer_knows_is_unknown_at_once(self) -> None:
        """The answers of all peers end the wait."""
        asking = gevent.spawn(self.exchange.ask, KEY, 'chat')
        gevent.sleep(0)
        for peer in PEERS:
            self.exchange.handle_answer(
                peer, messages.OriginFound(KEY, [], 'v1', has_followed=True)
            )
        answer = asking.get(timeout=0.1)
        self.assertEqual((None, {'v1'}), answer)

    # Guards against the guess of an earlier build that has just started.
    def test_version_of_a_peer_that_may_guess_does_not_count(self) -> None:
        """Its answer lacks the last field; it counts as an answer."""
        asking = gevent.spawn(self.exchange.ask, KEY, 'chat')
        gevent.sleep(0)
        message = msgspec.msgpack.decode(
            msgspec.msgpack.encode(['OriginFound', KEY, [], 'v1']),
            type=messages.OriginFound,
        )
        for peer in PEERS:
            self.exchange.handle_answer(peer, message)
        answer = asking.get(timeout=0.1)
        self.assertEqual((None, frozenset()), answer)

    def test_instance_without_peers_has_no_answer(self) -> None:
        """It learns that it is alone, and doesn't wait."""
        self.unreachable = set(PEERS)
        answer = self.exchange.ask(KEY, 'chat')
        self.assertEqual((None, frozenset()), answer)

    def test_one_peer_of_a_large_fleet_asks_the_targets(self) -> None:
        """The others wait for its answer and ask no target."""
        self.searcher = PEERS[0]
        searching = gevent.spawn(self.search)
        gevent.sleep(0)
        wanted = messages.OriginWanted(KEY, 'chat', *BLOCK)
        self.assertEqual([(PEERS[0], wanted)], self.sent)
        found = messages.OriginFound(
            KEY,
            [messages.WireOrigin(KEY, 'v1', 9_000)],
            '',
            weighs_prompts=True,
        )
        self.exchange.handle_answer(PEERS[0], found)
        self.assertEqual('v1', searching.get(timeout=0.1))
        self.assertEqual([], self.searches)

    def answer_as_earlier_build(self) -> None:
        """Answer as e89f1ea does, after one target has read the prompt."""
        found = ['OriginFound', KEY, [[KEY, 'v1', 9_000]], '', False]
        message = msgspec.msgpack.decode(
            msgspec.msgpack.encode(found), type=messages.OriginFound
        )
        self.exchange.handle_answer(PEERS[0], message)

    # Guards against a stream that goes on at a version which has read its
    # prompt only, since an earlier build takes that for its origin.
    def test_inference_of_an_earlier_build_does_not_count(self) -> None:
        """The instance asks the targets itself, without a wait."""
        self.searcher = PEERS[0]
        searching = gevent.spawn(self.search)
        gevent.sleep(0)
        self.answer_as_earlier_build()
        self.assertEqual('v2', searching.get(timeout=0.1))
        self.assertEqual([('chat', BLOCK)], self.searches)

    # Guards against the same where the answer comes too late.
    def test_late_inference_of_an_earlier_build_does_not_count(self) -> None:
        """Nobody waits for it any more."""
        self.answer_as_earlier_build()
        self.assertIsNone(self.exchange.find(KEY))

    def test_origin_that_an_earlier_build_knows_counts(self) -> None:
        """It was not asked for the prompt."""
        asking = gevent.spawn(self.exchange.ask, KEY, 'chat')
        gevent.sleep(0)
        self.answer_as_earlier_build()
        answer = asking.get(timeout=0.1)
        self.assertEqual('v1', answer.origin.version)

    # Guards against streams that are refused since the peer that asks the
    # targets has just ended.
    def test_instance_asks_the_targets_if_the_peer_is_out_of_reach(
        self,
    ) -> None:
        """It does so at once."""
        self.searcher = PEERS[0]
        self.unreachable = {PEERS[0]}
        self.assertEqual('v2', self.search())
        self.assertEqual([('chat', BLOCK)], self.searches)

    def test_peer_answers_with_what_the_targets_have_read(self) -> None:
        """The next question is answered from memory."""
        answers: list[messages.OriginFound] = []
        for _ in range(2):
            self.exchange.answer(
                messages.OriginWanted(KEY, 'chat', *BLOCK), answers.append
            )
            gevent.sleep(0)
        self.assertEqual(
            ['v2', 'v2'], [answer.origins[0].version for answer in answers]
        )
        self.assertEqual(1, len(self.searches))

    # Guards against instances of two builds that misread each other.
    def test_question_of_an_earlier_build_starts_no_search(self) -> None:
        """It has two fields, and an earlier build reads the first two."""
        earlier = msgspec.msgpack.encode(['OriginWanted', KEY, 'chat'])
        wanted = msgspec.msgpack.decode(earlier, type=messages.OriginWanted)
        answers: list[messages.OriginFound] = []
        self.exchange.answer(wanted, answers.append)
        self.assertEqual([], answers[0].origins)
        self.assertEqual([], self.searches)
        encoded = msgspec.msgpack.encode(
            messages.OriginWanted(KEY, 'chat', *BLOCK)
        )
        read = msgspec.msgpack.decode(encoded, type=_EarlierOriginWanted)
        self.assertEqual((KEY, 'chat'), (read.key, read.service))


class _EarlierOriginWanted(
    msgspec.Struct, array_like=True, tag='OriginWanted'
):
    """The question as 56b574e knows it."""

    key: int
    service: str


if __name__ == '__main__':
    unittest.main()
