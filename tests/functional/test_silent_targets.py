"""Sound targets that are silent for a while, under real instances.

Guards against answers that end because a target paused for a second or two:
only the caller's deadline and the route's timeout limit the wait, unless
another target takes the call over.
"""

import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call
from tests.lib.pausing_target import build_whole_body
from tests.lib.pausing_target import PausingTarget

CHANGE_SPREAD_S = 1.0
DRIP_TIMEOUT_MS = 6_000
"""Several times the gap after which another target is looked for."""
HANG_S = 60.0
MAX_TRIES = 20
PAUSE_S = 2.3
"""Longer than each time-out for a silent target, shorter than the deadline of
the calls by the time that they need besides."""


def call_paused(
    route: str,
    *,
    target_count: int = 1,
    attempt_limit: int = 2,
    is_before_head: bool = False,
) -> tuple[list[PausingTarget], str, Answer]:
    """Send one call to a fleet whose targets all pause in their answers."""
    service = 'chat' if 'stream' in route else 'desk'
    targets = [
        PausingTarget(PAUSE_S, is_before_head=is_before_head)
        for _ in range(target_count)
    ]
    try:
        with gateway_fleet.GatewayFleet(
            1, engine_count=0, service_count=0
        ) as fleet:
            fleet.publish_configuration(attempt_limit=attempt_limit)
            for number, target in enumerate(targets):
                fleet.register_endpoint(
                    f'{service}-{number}', service, target.endpoint
                )
            gevent.sleep(CHANGE_SPREAD_S)
            attempt, answer = call(
                fleet, route, method='GET', Deadline_Ms='2900'
            )
    finally:
        for target in targets:
            target.stop()
    return targets, attempt, answer


def call_pair(
    route: str, *, is_sound: bool, is_before_head: bool = False
) -> tuple[list[PausingTarget], Answer]:
    """Send one call; the target that gets it pauses.

    The other one answers at once if it is sound, and else rejects the call.
    """
    service = 'chat' if 'stream' in route else 'desk'
    first: list[str] = []

    def is_rejected(attempt: str) -> bool:
        return bool(first) and not is_sound

    class FirstPauses(PausingTarget):
        """Pauses if it is the first target that gets a call."""

        def find_pause_s(self) -> float:
            """Return the pause of the first target, else none."""
            first.append('')
            return self._pause_s if len(first) == 1 else 0.0

    targets: list[PausingTarget] = [
        FirstPauses(
            HANG_S if is_sound else PAUSE_S,
            is_before_head=is_before_head,
            is_rejected=is_rejected,
        )
        for _ in range(2)
    ]
    try:
        with gateway_fleet.GatewayFleet(
            1, engine_count=0, service_count=0
        ) as fleet:
            for number, target in enumerate(targets):
                fleet.register_endpoint(
                    f'{service}-{number}', service, target.endpoint
                )
            gevent.sleep(CHANGE_SPREAD_S)
            _, answer = call(fleet, route, method='GET', Deadline_Ms='2900')
    finally:
        for target in targets:
            target.stop()
    return targets, answer


class SilentTargetTest(unittest.TestCase):
    """Each test starts a fleet of one instance before pausing targets."""

    # Guards against a stream that is cut because its target paused and no
    # other target could take it over.
    def test_stream_at_the_only_target_outlasts_its_pause(self) -> None:
        """The caller gets all events from the target that began."""
        targets, attempt, answer = call_paused('stream')
        self.assertEqual(200, answer.status)
        self.assertEqual(build_whole_body(), answer.body)
        self.assertEqual([attempt], targets[0].attempts)

    # Guards against a stream that is cut because the target that took it over
    # paused as well and no attempt was left.
    def test_stream_outlasts_pauses_when_its_attempts_are_used_up(
        self,
    ) -> None:
        """The last permitted attempt isn't given up."""
        _, _, answer = call_paused('stream', target_count=2, attempt_limit=1)
        self.assertEqual(200, answer.status)
        self.assertEqual(build_whole_body(), answer.body)

    # Guards against a 502 while the only target was about to answer.
    def test_answer_of_the_only_target_is_awaited(self) -> None:
        """A pause before the head does not end a repeatable call."""
        targets, attempt, answer = call_paused('look-up', is_before_head=True)
        self.assertEqual(200, answer.status)
        self.assertEqual([attempt], targets[0].attempts)

    # Guards against a 502 in place of the rest of an answer.
    def test_rest_of_a_body_is_awaited(self) -> None:
        """A pause within the body does not end a repeatable call."""
        targets, attempt, answer = call_paused('look-up')
        self.assertEqual(200, answer.status)
        self.assertEqual(build_whole_body(), answer.body)
        self.assertEqual([attempt], targets[0].attempts)

    # Guards against an answer that is given up for a target which then
    # rejects the call.
    def test_rejected_takeover_leaves_the_answer_at_its_target(self) -> None:
        """The paused target goes on after the other one has rejected."""
        for route, is_before_head in (
            ('stream', False),
            ('look-up', False),
            ('look-up', True),
        ):
            with self.subTest(route=route, is_before_head=is_before_head):
                targets, answer = call_pair(
                    route, is_sound=False, is_before_head=is_before_head
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(build_whole_body(), answer.body)
                rejected = [t.rejected for t in targets]
                self.assertIn([], rejected)
                self.assertNotEqual([[], []], rejected)

    # Guards against a call that stays at a target that hangs for good.
    def test_hung_target_is_replaced(self) -> None:
        """The other target takes the call over, in each part of an answer."""
        for route, is_before_head in (
            ('stream', False),
            ('look-up', False),
            ('look-up', True),
        ):
            with self.subTest(route=route, is_before_head=is_before_head):
                _, answer = call_pair(
                    route, is_sound=True, is_before_head=is_before_head
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(build_whole_body(), answer.body)

    # Guards against a stalled stream that doesn't end since its target sends a
    # byte now and then.
    def test_dripping_target_is_replaced(self) -> None:
        """Bytes that complete no event don't count; another target goes on."""
        with gateway_fleet.GatewayFleet(1, engine_count=2) as fleet:
            fleet.publish_configuration(timeout_ms=DRIP_TIMEOUT_MS)
            gevent.sleep(CHANGE_SPREAD_S)
            for _ in range(MAX_TRIES):
                attempt, answer = call(
                    fleet,
                    'stream',
                    X_Fault='drip-stream@chat-0',
                    Deadline_Ms=str(DRIP_TIMEOUT_MS),
                )
                runs = [r.target for r in fleet.runs if r.attempt == attempt]
                self.assertEqual(200, answer.status)
                self.assertEqual(5, answer.body.count(b'piece'))
                if runs[0] == 'chat-0':
                    break
            self.assertEqual(['chat-0', 'chat-1'], runs)
            # It notices at its next byte.
            gevent.sleep(CHANGE_SPREAD_S)
            self.assertEqual(
                [attempt], fleet.targets['chat-0'].abandoned_attempts
            )


if __name__ == '__main__':
    unittest.main()
