"""The version of a stream, from the prompts that targets have read.

Guards against a stream that goes on at another version because of what targets
say, or don't say, of its prompt, and against a burst of questions to targets
after all instances have been killed at once.
"""

from collections.abc import Callable
import types
from typing import Any
import unittest
from unittest import mock

import gevent

from lagoonbend.clock import PausedClock
from lagoonbend.facts import find_read_version
from lagoonbend.facts import KeptPrompts
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import weigh_kept_prompts
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.gateway import prompt_lists
from lagoonbend_entry._internal.gateway import prompt_survey
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.models.kept_blocks import KeptBlocks
from lagoonbend_entry._internal.platform.prompt_codec import decode_kept_blocks
from tests.unit.test_keepers_of_origins import FleetWorld

Told = tuple[str | None, dict[str, int] | None]
"""Version of a target, and the tokens that it keeps of each block."""

BLOCK = PromptBlock('bb02', 1_030)
READ = {'aa01': 48, 'bb02': 1_024}
WRITTEN = {'aa01': 48, 'bb02': 1_040}
READ_BLOCK = {'bb02': 1_024}
CALLERS = 100


def build_kept(
    name: str, version: str | None, tokens: dict[str, int] | None
) -> KeptPrompts:
    """Return what a target of a version keeps."""
    target = ListedTarget(
        name, 'chat', '10.0.0.1', 80, 'd0', 8, False, version
    )
    return KeptPrompts(target, tokens)


class ReadVersionTest(unittest.TestCase):
    """What readers show if each stream was sent to one version only."""

    def find(self, *kept: Told) -> str | None:
        """Return the version that the answers of targets show."""
        return find_read_version(
            [build_kept(f't{n}', *told) for n, told in enumerate(kept)], *BLOCK
        )

    # Guards against streams that are refused since a target of another version
    # is silent, answers late or has ended.
    def test_reader_counts_beside_targets_that_tell_nothing(self) -> None:
        """Only a reader of another version would matter."""
        for other in (None, {}, {'aa01': 48}):
            with self.subTest(other=other):
                told: tuple[Told, ...] = (('v2', other), (None, other))
                self.assertEqual('v1', self.find(('v1', READ), *told))
        ended = build_kept('t1', 'v2', {})._replace(has_ended=True)
        all_kept = [build_kept('t0', 'v1', READ), ended]
        self.assertEqual('v1', find_read_version(all_kept, *BLOCK))

    def test_two_readers_show_nothing(self) -> None:
        """A caller may have sent its prompt again, to another version."""
        self.assertIsNone(self.find(('v1', WRITTEN), ('v2', READ)))
        self.assertIsNone(self.find(('v1', READ), (None, READ)))

    def test_no_reader_shows_nothing(self) -> None:
        """A block may also be that of a shorter prompt of the session."""
        self.assertIsNone(self.find())
        self.assertIsNone(self.find(('v1', {'bb02': 512}), ('v2', None)))
        self.assertIsNone(self.find((None, READ)))


class PromptEvidenceTest(unittest.TestCase):
    """What readers show beside instances that send streams to any version."""

    def find(self, *kept: Told, may_have_left: bool = False) -> Any:
        """Return the version that the answers of targets show.

        :param may_have_left: True if another version may have left.
        """
        all_kept = [
            build_kept(f't{number}', *told) for number, told in enumerate(kept)
        ]
        return weigh_kept_prompts(
            all_kept, *BLOCK, lambda readers: may_have_left
        )

    def test_version_whose_target_has_read_the_prompt(self) -> None:
        """Others of the version may be silent or have read nothing."""
        found = self.find(('v1', READ), ('v2', {}), ('v1', None), ('v1', {}))
        self.assertEqual('v1', found)

    # Guards against a stream that goes on at a version which has read the
    # prompt and was silent, while the one that began it has left.
    def test_reader_shows_nothing_once_another_version_has_left(self) -> None:
        """The call may have gone on to a target that can't be asked."""
        told: tuple[Told, ...] = (('v1', READ), ('v2', {}))
        self.assertIsNone(self.find(*told, may_have_left=True))
        all_kept = [build_kept('t1', 'v1', READ)]
        for version, expected in (('v1', 'v1'), ('v2', None)):
            ended = build_kept('t2', version, {})._replace(has_ended=True)
            evidence = weigh_kept_prompts(
                [*all_kept, ended], *BLOCK, lambda readers: False
            )
            self.assertEqual(expected, evidence)

    # Guards against an answer that was written completely, reached nobody and
    # counts for the stream that another version has begun.
    def test_writer_shows_nothing_once_another_version_has_left(self) -> None:
        """It counts like any reader."""
        told: tuple[Told, ...] = (('v1', WRITTEN), ('v2', {}))
        self.assertIsNone(self.find(*told, may_have_left=True))
        self.assertEqual('v1', self.find(*told))

    # Guards against a silent target that runs the call to its end although it
    # was given up, and counts more than the one whose stream was cut.
    def test_complete_answer_elsewhere_is_not_the_stream(self) -> None:
        """A stream that was cut leaves its prompt alone."""
        self.assertIsNone(self.find(('v1', WRITTEN), ('v2', READ)))

    def test_generated_tokens_belong_to_the_block(self) -> None:
        """The block grows while the answer is written."""
        self.assertEqual('v1', self.find(('v1', {'bb02': 1_400}), ('v2', {})))

    def test_uncertain_answers_show_nothing(self) -> None:
        """The stream may have begun at another version."""
        cases: tuple[tuple[Told, ...], ...] = (
            (),
            (('v1', {}), ('v2', {})),
            (('v1', READ), ('v2', READ)),
            (('v1', WRITTEN), ('v2', WRITTEN)),
            (('v1', WRITTEN), ('v2', None)),
            (('v1', READ), ('v2', None)),
            (('v1', READ), (None, None)),
            (('v1', {'bb02': 512}), ('v2', {})),
            (('v1', {'aa01': 48}), ('v2', {})),
            ((None, READ), ('v2', {})),
        )
        for told in cases:
            with self.subTest(told=told):
                self.assertIsNone(self.find(*told))

    def test_short_block_that_is_not_kept_shows_nothing(self) -> None:
        """Engines keep whole multiples of 16 tokens."""
        all_kept = [build_kept('t', 'v1', {})]
        evidence = weigh_kept_prompts(all_kept, 'bb02', 9, lambda v: False)
        self.assertIsNone(evidence)


class PromptCodecTest(unittest.TestCase):
    """What an engine answers."""

    def test_blocks_of_all_models_are_read(self) -> None:
        """The larger number of tokens counts."""
        body = (
            b'{"epoch":1,"next":9,"held":[["","aa01",48,"m"],'
            b'["","bb02",16,"m"],["","bb02",1024,"n"]]}'
        )
        self.assertEqual(KeptBlocks(READ), decode_kept_blocks(body))
        stated = body.replace(b'{"epoch"', b'{"born":17,"epoch"')
        self.assertEqual(KeptBlocks(READ, 17), decode_kept_blocks(stated))
        odd = body.replace(b'{"epoch"', b'{"born":"17","epoch"')
        self.assertEqual(KeptBlocks(READ), decode_kept_blocks(odd))

    def test_unreadable_answers_tell_nothing(self) -> None:
        """They must not count for an engine that has read no prompt."""
        for body in (
            b'',
            b'{}',
            b'[]',
            b'{"held":null}',
            b'{"held":[["","aa01"]]}',
            b'{"held":[["","aa01","48","m"]]}',
            b'\xff\xfe',
        ):
            with self.subTest(body=body):
                self.assertIsNone(decode_kept_blocks(body))


class AnswererTest(unittest.TestCase):
    """A target that is asked which prompts it keeps."""

    def ask(
        self, target: ListedTarget, body: bytes, status: int = 200
    ) -> KeptPrompts:
        """Ask a target at whose address an answer is given.

        :param body: the list.
        """
        connection = self.connection = mock.Mock()
        connection.read_head.return_value.status = status
        connection.read_body.return_value = [body]
        with mock.patch.object(
            target_connection.TargetConnection,
            'connect',
            return_value=connection,
        ):
            return prompt_lists._read_list(target, lambda: None)

    # Guards against a target that counts as one that has read nothing, since
    # its address belongs to another life of it, or to another target.
    def test_later_life_does_not_answer_for_a_target(self) -> None:
        """The listed one has ended, with what it has read."""
        target = build_kept('t', 'v2', None).target._replace(born_ms=17)
        body = b'{"held":[["","bb02",1024,"m"]],"born":%d}'
        for born_ms in (16, 17):
            kept = self.ask(target, body % born_ms)
            self.assertEqual(KeptPrompts(target, {'bb02': 1_024}), kept)
        kept = self.ask(target, body % 18)
        self.assertEqual(KeptPrompts(target, {}, has_ended=True), kept)

    # Guards against streams that are refused since targets don't state in
    # their lists when they started.
    def test_list_without_a_start_counts(self) -> None:
        """The entry or the answer doesn't state it."""
        target = build_kept('t', 'v2', None).target
        body = b'{"held":[["","bb02",1024,"m"]],"born":17}'
        self.assertEqual(READ_BLOCK, self.ask(target, body).tokens_by_block)
        target = target._replace(born_ms=17)
        body = b'{"held":[["","bb02",1024,"m"]]}'
        self.assertEqual(READ_BLOCK, self.ask(target, body).tokens_by_block)

    def test_another_target_rejects_the_question(self) -> None:
        """The listed one has ended."""
        target = build_kept('t', 'v2', None).target
        kept = self.ask(target, b'', status=421)
        self.assertEqual(KeptPrompts(target, {}, has_ended=True), kept)
        sent = self.connection.send.call_args[0][0]
        self.assertIn(b'\r\nExpect-Instance: t\r\n', sent)
        self.assertIsNone(self.ask(target, b'', status=503).tokens_by_block)


class PromptSurveyTest(unittest.TestCase):
    """One instance and two targets, which the test plays."""

    def setUp(self) -> None:
        """Let all targets answer after a moment."""
        self.clock = PausedClock()
        self.asked: list[str] = []
        targets = [
            build_kept('t1', 'v1', None).target,
            build_kept('t2', 'v2', None).target,
        ]
        self.directory = mock.Mock()
        self.directory.list_registered.return_value = targets
        self.facts = types.SimpleNamespace(
            target_directory=self.directory,
            confirm=lambda: True,
            may_have_lost=lambda service, readers: False,
        )
        self.told = WRITTEN
        facts: Any = self.facts
        self.is_bound = True
        self.survey = prompt_survey.PromptSurvey(
            facts, self.clock, lambda: self.is_bound
        )
        self.delay_s = 0.01
        patched = mock.patch.object(prompt_lists, '_read_list', self.ask)
        patched.start()
        self.addCleanup(patched.stop)

    def ask(
        self, target: ListedTarget, on_progress: Callable[[], None]
    ) -> KeptPrompts:
        """Answer a question to a target; only v1 has read the prompt."""
        self.asked.append(target.target)
        gevent.sleep(self.delay_s)
        is_reader = target.software_version == 'v1'
        return KeptPrompts(target, self.told if is_reader else {})

    def find(self) -> str | None:
        """Return the version of the prompt."""
        return self.survey.find_version('chat', BLOCK)

    def test_many_callers_cost_each_target_one_question(self) -> None:
        """They wait for the same answers, and late ones use them again."""
        greenlets = [gevent.spawn(self.find) for _ in range(CALLERS)]
        gevent.joinall(greenlets)
        self.assertEqual({'v1'}, {greenlet.value for greenlet in greenlets})
        self.clock.advance(900)
        self.assertEqual('v1', self.find())
        self.assertEqual(['t1', 't2'], self.asked)

    def test_targets_are_asked_again_after_a_while(self) -> None:
        """The answers don't know the prompts that were read since."""
        self.find()
        self.clock.advance(1_000)
        self.find()
        self.assertEqual(4, len(self.asked))

    # Guards against a reader that counts although the stream has begun at
    # another target since the answers that are used again.
    def test_reader_counts_only_in_answers_to_later_questions(self) -> None:
        """Targets are asked anew, once for all who ask at that time."""
        self.is_bound = False
        self.told = READ
        self.find()
        self.clock.advance(1)
        greenlets = [gevent.spawn(self.find) for _ in range(CALLERS)]
        gevent.joinall(greenlets)
        self.assertEqual({'v1'}, {greenlet.value for greenlet in greenlets})
        self.assertEqual(4, len(self.asked))

    # Guards against a question to each target for each call of a burst.
    def test_calls_that_need_new_answers_take_turns(self) -> None:
        """Those that arrive within a tenth of a second share the answers."""
        self.is_bound = False
        self.told = READ
        self.delay_s = 0.0
        self.find()
        greenlets = []
        for _ in range(9):
            self.clock.advance(1)
            greenlets.append(gevent.spawn(self.find))
            gevent.sleep(0)
        gevent.joinall(greenlets)
        self.assertEqual({'v1'}, {greenlet.value for greenlet in greenlets})
        self.assertEqual(4, len(self.asked))

    # Guards against the same while the instance is out of step.
    def test_reader_counts_only_if_all_targets_were_asked(self) -> None:
        """Another one has joined, or nobody can tell."""
        self.is_bound = False
        self.told = READ
        joined = build_kept('t3', 'v2', None).target
        with mock.patch.object(self.facts, 'confirm', lambda: False):
            self.assertIsNone(self.find())
        with mock.patch.object(
            self.facts, 'may_have_lost', lambda service, readers: True
        ):
            self.assertIsNone(self.find())
        targets = self.directory.list_registered.return_value
        self.facts.confirm = lambda: targets.append(joined) or True
        self.assertIsNone(self.find())

    # Guards against streams that are refused after a loss of all since targets
    # have ended, of any service, of which nothing more is known.
    def test_reader_counts_whoever_has_ended(self) -> None:
        """Each stream was sent to one version only."""
        self.told = READ
        self.facts.may_have_lost = lambda service, readers: True
        self.facts.confirm = lambda: False
        self.assertEqual('v1', self.find())
        self.is_bound = False
        self.assertIsNone(self.find())

    def test_caller_that_leaves_ends_no_other_wait(self) -> None:
        """The first one leaves while the targets are asked."""
        first, second = (gevent.spawn(self.find) for _ in range(2))
        gevent.sleep(0)
        first.kill()
        self.assertEqual('v1', second.get(timeout=0.1))

    def test_silent_target_is_waited_for_briefly(self) -> None:
        """Callers wait for a refusal meanwhile."""
        self.delay_s = 5.0
        with gevent.Timeout(0.4):
            self.assertIsNone(self.find())


class ListsOnANarrowLinkTest(unittest.TestCase):
    """Many targets, whose lists arrive one after another.

    Guards against streams that are refused after a loss of all since the lists
    of a large service take longer than the answer of one target.
    """

    def setUp(self) -> None:
        """Let a target send its list in parts, once its turn has come."""
        self.delays_s: dict[str, float] = {}
        self.pause_s = 0.0
        patched = mock.patch.object(prompt_lists, '_read_list', self.read)
        patched.start()
        self.addCleanup(patched.stop)

    def read(
        self, target: ListedTarget, on_progress: Callable[[], None]
    ) -> KeptPrompts:
        """Return the list of a target after its delay."""
        gevent.sleep(self.delays_s[target.target])
        on_progress()
        gevent.sleep(self.pause_s)
        return KeptPrompts(target, READ)

    def count_told(self, *delays_s: float) -> int:
        """Return the number of targets whose lists are read."""
        self.delays_s = {f't{n}': s for n, s in enumerate(delays_s)}
        targets = [
            build_kept(name, 'v1', None).target for name in self.delays_s
        ]
        all_kept = prompt_lists.read_kept_prompts(targets)
        self.assertEqual(targets, [kept.target for kept in all_kept])
        return sum(kept.tokens_by_block is not None for kept in all_kept)

    def test_lists_that_go_on_arriving_are_waited_for(self) -> None:
        """45 of them take 0.6 s in all; a last one has a part on its way."""
        self.assertEqual(45, self.count_told(*(n / 75 for n in range(45))))
        self.pause_s = 0.15
        self.assertEqual(2, self.count_told(0.0, 0.15))

    # Guards against the same on a busy machine, where packets come late.
    def test_list_on_its_way_is_waited_for(self) -> None:
        """A part of it has arrived, and nothing comes for a while."""
        self.pause_s = 0.5
        self.assertEqual(2, self.count_told(0.0, 0.1))

    def test_silent_target_is_not_waited_for(self) -> None:
        """The others have told, or none has."""
        for delays_s, count in (((0.0, 5.0), 1), ((5.0, 5.0), 0)):
            with self.subTest(delays_s=delays_s), gevent.Timeout(0.4):
                self.assertEqual(count, self.count_told(*delays_s))

    def test_lists_without_end_are_given_up(self) -> None:
        """A caller gives its stream up after two seconds."""
        with gevent.Timeout(1.5):
            self.assertLess(self.count_told(*(n / 8 for n in range(32))), 11)


class SearchersTest(unittest.TestCase):
    """The instances that ask the targets, in a fleet that has just started."""

    def test_few_instances_ask_the_targets_of_a_service(self) -> None:
        """One for each failure domain, at 195 and 420 instances."""
        for instance_count, domain_count in ((195, 6), (420, 6)):
            world = FleetWorld(instance_count, domain_count)
            searchers = {
                fleet.find_searcher('chat') or address
                for address, fleet in world.fleets.items()
            }
            with self.subTest(instances=instance_count):
                print(f'{instance_count}: {len(searchers)} ask')
                self.assertLessEqual(len(searchers), 3 * domain_count)

    # Guards against an inference of an earlier build that it remembers, and
    # gives as a known origin to the next one who asks.
    def test_instance_of_an_earlier_build_is_not_asked(self) -> None:
        """Those that would ask it ask the targets themselves."""
        world = FleetWorld(24, 3)
        searchers = {
            fleet.find_searcher('chat') for fleet in world.fleets.values()
        } - {''}
        self.assertGreater(len(searchers), 0)
        world.earlier = searchers
        world.run_rounds(2)
        for fleet in world.fleets.values():
            self.assertEqual('', fleet.find_searcher('chat'))


if __name__ == '__main__':
    unittest.main()
