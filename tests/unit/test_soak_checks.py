"""Checks that the soak test with faults applies to its calls.

A check that can't fail would hide a fault of the system. So each check is
given a call that violates it.
"""

import unittest

from lagoonbend_devkit.soak import find_violations
from lagoonbend_devkit.soak import SoakCall
from lagoonbend_devkit.soak import TargetRun
from lagoonbend_entry.testing import IncomingRequest

VALID_CALL = SoakCall(
    'a1', 0, 'booking', b'van', '', 200, b'ran van', True, 0.0, 0.1
)
REQUEST = IncomingRequest('POST', '/booking/x', [], {}, b'van', True, True, 0)
RUN = TargetRun('desk-0', 'a1', REQUEST)


def find_failed_checks(call: SoakCall, runs: int) -> set[str]:
    """Return the names of the checks that a call fails.

    :param runs: number of times that the target ran the call.
    """
    return {item.guarantee for item in find_violations([call], [RUN] * runs)}


class SoakChecksTest(unittest.TestCase):
    """Each test lets calls fail one check."""

    def test_valid_call_passes_all_checks(self) -> None:
        """A complete answer of the only run passes all checks."""
        self.assertEqual(set(), find_failed_checks(VALID_CALL, 1))

    def test_second_run_is_seen(self) -> None:
        """Only a call that must not run twice fails the check."""
        self.assertEqual({'runs_once'}, find_failed_checks(VALID_CALL, 2))
        look_up = VALID_CALL._replace(route='look-up')
        self.assertEqual(set(), find_failed_checks(look_up, 2))

    def test_false_refusal_is_seen(self) -> None:
        """These statuses mean that the call did not run."""
        for status in (408, 421, 429, 503):
            call = VALID_CALL._replace(status=status)
            self.assertEqual({'refusal_is_true'}, find_failed_checks(call, 1))
            self.assertEqual(set(), find_failed_checks(call, 0))

    def test_answer_that_is_not_whole_or_own_is_seen(self) -> None:
        """The answer is truncated, foreign, unsigned, or has no run."""
        whole = 'answer_is_whole_and_own'
        for call, runs in (
            (VALID_CALL._replace(answer=b'ran v'), 1),
            (VALID_CALL._replace(answer=b'ran tour'), 1),
            (VALID_CALL._replace(is_signed=False), 1),
            (VALID_CALL, 0),
            (VALID_CALL._replace(route='stream', answer=b'id: 1\n\n'), 1),
        ):
            self.assertEqual({whole}, find_failed_checks(call, runs))

    def test_denied_and_late_answers_are_seen(self) -> None:
        """No valid request is denied; time paused counts as no delay."""
        denied = VALID_CALL._replace(status=401)
        name = 'proper_request_is_not_denied'
        self.assertEqual({name}, find_failed_checks(denied, 0))
        late = VALID_CALL._replace(duration_s=6.0)
        self.assertEqual({'answer_comes_in_time'}, find_failed_checks(late, 1))
        paused = late._replace(paused_s=2.5)
        self.assertEqual(set(), find_failed_checks(paused, 1))
        also_late = late._replace(paused_s=1.5)
        self.assertEqual(
            {'answer_comes_in_time'}, find_failed_checks(also_late, 1)
        )


if __name__ == '__main__':
    unittest.main()
