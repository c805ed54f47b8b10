"""Advice to a caller that sends a request several times with one key.

A caller that takes a new key while an earlier send may still run makes the
work run twice; one that never takes a new key may leave the work undone.
"""

import unittest

from lagoonbend.callers import Advice
from lagoonbend.callers import KeyedRequest
from lagoonbend.models import Verdict
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


class KeyedRequestTest(unittest.TestCase):
    """Advice after answered, lost and open sends."""

    def test_all_attempts_not_run_allows_a_new_key(self) -> None:
        """The work can be done although the key's holder is unreachable."""
        request = KeyedRequest()
        for _ in range(2):
            request.record_send()
            request.record_answer(MAY_HAVE_RUN, NOT_RUN)
        advice = request.advise(is_key_usable=False)
        self.assertIs(Advice.TAKE_NEW_KEY, advice)

    def test_lost_send_forbids_a_new_key(self) -> None:
        """A send without an answer may have run."""
        request = KeyedRequest()
        request.record_send()
        request.record_loss()
        request.record_send()
        request.record_answer(MAY_HAVE_RUN, NOT_RUN)
        advice = request.advise(is_key_usable=False)
        self.assertIs(Advice.UNDECIDED, advice)

    def test_open_send_forbids_a_new_key(self) -> None:
        """A send that is still open may run later."""
        request = KeyedRequest()
        request.record_send()
        request.record_send()
        request.record_answer(MAY_HAVE_RUN, NOT_RUN)
        advice = request.advise(is_key_usable=False)
        self.assertIs(Advice.UNDECIDED, advice)

    def test_usable_key_is_repeated(self) -> None:
        """Repeating with the same key is always safe."""
        request = KeyedRequest()
        request.record_send()
        request.record_loss()
        advice = request.advise(is_key_usable=True)
        self.assertIs(Advice.REPEAT_SAME_KEY, advice)

    def test_advice_is_true_after_the_home_restarts(self) -> None:
        """A new key is safe after the ticket's issuer has restarted."""
        world = ScriptedWorld()
        caller = world.new_caller(home=0)
        world.start(world.fleet_list.peers[0])
        request = KeyedRequest()
        request.record_send()
        refusal = world.call(caller, 1).refusal
        assert refusal is not None
        request.record_answer(refusal.verdict, refusal.attempt_verdict)
        self.assertIs(MAY_HAVE_RUN, refusal.verdict)
        self.assertIs(NOT_RUN, request.verdict)
        self.assertEqual(0, caller.executions)
