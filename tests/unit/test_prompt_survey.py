"""The version of a stream, from the prompts that targets have read.

Guards against a stream that goes on at another version because of what targets
say, or don't say, of its prompt, and against a burst of questions to targets
after all instances have been killed at once.
"""

import types
from typing import Any
import unittest
from unittest import mock

import gevent

from lagoonbend.clock import PausedClock
from lagoonbend.facts import find_reading_version
from lagoonbend.facts import KeptPrompts
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.gateway import prompt_survey
from lagoonbend_entry._internal.platform.prompt_codec import decode_kept_blocks
from tests.unit.test_keepers_of_origins import FleetWorld

Told = tuple[str | None, dict[str, int] | None]
"""Version of a target, and the tokens that it keeps of each block."""

BLOCK = PromptBlock('bb02', 1_030)
READ = {'aa01': 48, 'bb02': 1_024}
CALLERS = 100


def build_kept(
    name: str, version: str | None, tokens: dict[str, int] | None
) -> KeptPrompts:
    """Return what a target of a version keeps."""
    target = ListedTarget(
        name, 'chat', '10.0.0.1', 80, 'd0', 8, False, version
    )
    return KeptPrompts(target, tokens)


class ReadingVersionTest(unittest.TestCase):
    """Which answers of targets show the version of a stream."""

    def find(self, *kept: Told) -> Any:
        """Return the version that the answers of targets show."""
        all_kept = [
            build_kept(f't{number}', *told) for number, told in enumerate(kept)
        ]
        return find_reading_version(all_kept, *BLOCK)

    def test_version_whose_target_has_read_the_prompt(self) -> None:
        """Others of the version may be silent or have read nothing."""
        found = self.find(('v1', READ), ('v2', {}), ('v1', None), ('v1', {}))
        self.assertEqual('v1', found)

    def test_generated_tokens_belong_to_the_block(self) -> None:
        """The block grows while the answer is written."""
        self.assertEqual('v1', self.find(('v1', {'bb02': 1_400}), ('v2', {})))

    def test_uncertain_answers_show_nothing(self) -> None:
        """The stream may have begun at another version."""
        cases: tuple[tuple[Told, ...], ...] = (
            (),
            (('v1', {}), ('v2', {})),
            (('v1', READ), ('v2', READ)),
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
        self.assertIsNone(find_reading_version(all_kept, 'bb02', 9))


class PromptCodecTest(unittest.TestCase):
    """What an engine answers."""

    def test_blocks_of_all_models_are_read(self) -> None:
        """The larger number of tokens counts."""
        body = (
            b'{"epoch":1,"next":9,"held":[["","aa01",48,"m"],'
            b'["","bb02",16,"m"],["","bb02",1024,"n"]]}'
        )
        self.assertEqual(READ, decode_kept_blocks(body))

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
        directory = mock.Mock()
        directory.list_registered.return_value = targets
        facts: Any = types.SimpleNamespace(target_directory=directory)
        self.survey = prompt_survey.PromptSurvey(facts, self.clock)
        self.delay_s = 0.01
        patched = mock.patch.object(prompt_survey, '_ask', self.ask)
        patched.start()
        self.addCleanup(patched.stop)

    def ask(self, target: ListedTarget) -> dict[str, int]:
        """Answer a question to a target; only v1 has read the prompt."""
        self.asked.append(target.target)
        gevent.sleep(self.delay_s)
        return READ if target.software_version == 'v1' else {}

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


if __name__ == '__main__':
    unittest.main()
