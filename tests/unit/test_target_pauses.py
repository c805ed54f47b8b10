"""Pauses that targets ask for in their answers.

Guards against values of ``Retry-After`` that end a target's use or that are
taken for a pause, and against pauses that end early, late or never.
"""

import random
import unittest
from unittest import mock

import gevent
import gevent.event

from lagoonbend.clock import PausedClock
from lagoonbend.clock import RuntimeClock
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import SendRecord
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway import target_pauses
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.target_error import ConnectionLostError
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry.testing import IncomingRequest
from tests.lib.mock_coordinator import build_mock_coordinator
from tests.unit.test_closed_targets import BORN_MS
from tests.unit.test_closed_targets import build_target
from tests.unit.test_errors_amid_a_call import ROUTE

LOGGED = 'lagoonbend_entry._internal.gateway.target_pauses.log_event'
REQUEST = IncomingRequest('POST', '/x', [], {}, b'', True, True, 0)


class PauseOnTheWireTest(unittest.TestCase):
    """The header of answers."""

    def decode(self, value: str, status: int = 503) -> tuple[int, str]:
        """Return the pause and the value that is not used as it is."""
        facts = answer_headers.decode_answer_headers(
            status, {'retry-after': value}
        )
        return facts.pause_ms, facts.unused_retry_after

    # Guards against a pause that is rounded to an earlier end.
    def test_seconds_may_have_fractions(self) -> None:
        """Parts of a millisecond count as a whole one."""
        for value, pause_ms in (
            ('2', 2_000),
            (' 0.25 ', 250),
            ('.5', 500),
            ('1.', 1_000),
            ('0.0001', 1),
            ('0', 0),
        ):
            with self.subTest(value=value):
                self.assertEqual((pause_ms, ''), self.decode(value))

    # Guards against a bad value that is used, or that is not seen.
    def test_bad_value_counts_as_missing(self) -> None:
        """It is returned for the log, up to a bound."""
        for value in (
            '-1',
            '+1',
            'nan',
            'inf',
            '1e3',
            '1_0',
            '\u0661',
            '',
            'Wed, 21 Oct 2026 07:28:00 GMT',
        ):
            with self.subTest(value=value):
                self.assertEqual((0, repr(value)), self.decode(value))
        _, unused = self.decode('x' * 10_000)
        self.assertLess(len(unused), 100)

    # Guards against a target that is lost for a day.
    def test_huge_value_is_capped(self) -> None:
        """Values that no number type holds are, too."""
        for value in ('60.001', '86400', '9' * 400):
            with self.subTest(value=value[:10]):
                pause_ms, unused = self.decode(value)
                self.assertEqual(answer_headers.MAX_PAUSE_MS, pause_ms)
                self.assertTrue(unused)

    # Guards against a pause that no target has asked for.
    def test_only_a_rejection_with_503_asks_for_a_pause(self) -> None:
        """Other answers may carry the header for the caller."""
        for status in (200, 429, 500):
            self.assertEqual((0, ''), self.decode('2', status))
        facts = answer_headers.decode_answer_headers(503, {})
        self.assertEqual(0, facts.pause_ms)


class TargetPausesTest(unittest.TestCase):
    """One target asks for a pause of a second."""

    def setUp(self) -> None:
        """Record the pause."""
        self.clock = PausedClock(1_000_000)
        self.pauses = target_pauses.TargetPauses(self.clock, random.Random(1))
        self.assertTrue(self.pauses.record(build_target(), 1_000))

    def count_left_ms(self, born_ms: int = BORN_MS) -> int:
        """Return the rest of the pause without the clock's resolution."""
        left_ms = self.pauses.find_left_ms(build_target(born_ms=born_ms))
        return left_ms - bool(left_ms)

    # Guards against a pause that an answer of before or after ends.
    def test_later_answer_lengthens_and_never_shortens(self) -> None:
        """The longest one counts, and none is a new pause."""
        self.clock.advance(400)
        self.assertFalse(self.pauses.record(build_target(), 100))
        self.assertEqual(600, self.count_left_ms())
        self.assertFalse(self.pauses.record(build_target(), 800))
        self.assertEqual(800, self.count_left_ms())

    # Guards against a pause without an end, and entries without one.
    def test_pause_ends_by_time(self) -> None:
        """The entry is dropped with the next pause."""
        self.clock.advance(1_001)
        self.assertEqual(0, self.count_left_ms())
        self.assertTrue(self.pauses.record(build_target('i-2'), 1_000))
        self.assertEqual(1, len(self.pauses))
        for number in range(target_pauses.MAX_PAUSES):
            self.pauses.record(build_target(f'j-{number}'), 1_000)
        self.assertEqual(target_pauses.MAX_PAUSES, len(self.pauses))

    # Guards against a target that is left unused after its restart.
    def test_later_start_is_a_new_target(self) -> None:
        """An earlier one is an older copy of the registration."""
        self.assertEqual(0, self.count_left_ms(BORN_MS + 1))
        self.assertEqual(1_000, self.count_left_ms(BORN_MS - 1))

    # Guards against a log line for each answer.
    def test_log_lines_are_bounded(self) -> None:
        """The next line says how many values were not used meanwhile."""
        with mock.patch(LOGGED) as log_event:
            for _ in range(100):
                self.pauses.record_unused_value(build_target(), "'-1'")
                self.clock.advance(200)
        counts = [item.kwargs['count'] for item in log_event.call_args_list]
        self.assertEqual([1, 50], counts)

    # Guards against callers that return too early, or all at once.
    def test_returns_are_spread_after_the_end(self) -> None:
        """None is earlier than the end."""
        times_ms = {self.pauses.spread_return_ms(2_000) for _ in range(100)}
        self.assertLess(50, len(times_ms))
        self.assertLessEqual(2_000, min(times_ms))
        self.assertGreaterEqual(2_500, max(times_ms))


class FailedRejectionTest(unittest.TestCase):
    """An answer that asks for a pause, and that can't be relayed."""

    # Guards against a fault of the target that is only a pause.
    def test_pause_counts_without_the_body(self) -> None:
        """The body breaks, or it has a content encoding."""
        for encoding in ('identity', 'gzip'):
            with self.subTest(encoding=encoding):
                answer = Answer()
                answer.status = 503
                answer.header_map = {
                    'attempt-id': 'a',
                    'retry-after': '1',
                    'content-encoding': encoding,
                }
                pool = mock.Mock()
                connection = pool.acquire.return_value
                connection.received_bytes = 0
                connection.read_head.return_value = answer
                connection.read_body.side_effect = ConnectionLostError('x')
                call = mock.MagicMock(expires_at_ms=1_001_000)
                call.headers.attempt = 'a'
                call.route = ROUTE
                call.request.body = b''
                clock = PausedClock(1_000_000)
                tried = Attempt(
                    call,
                    build_target(),
                    100,
                    mock.Mock(),
                    mock.Mock(),
                    pool,
                    ClosedTargets(
                        target_pauses.TargetPauses(clock, random.Random(1))
                    ),
                    clock,
                    mock.Mock(),
                    mock.MagicMock(),
                    SendRecord(),
                )
                with mock.patch.object(tried, '_encode_request'):
                    report = tried.run()
                self.assertTrue(report.asks_for_pause, report)


class CallsInAPauseTest(unittest.TestCase):
    """A call whose service has one open target and two that can't serve it."""

    def setUp(self) -> None:
        """Create a handler whose coordinator grants nothing."""
        clock = RuntimeClock()
        self.open_target = build_target()._replace(software_version='v1')
        self.closed_targets = ClosedTargets(
            target_pauses.TargetPauses(clock, random.Random(1))
        )
        self.closed_targets.record_leaving(build_target('i-2'))
        self.targets = [
            self.open_target,
            build_target('i-2')._replace(software_version='v1'),
            build_target('i-3')._replace(software_version='v2'),
        ]
        facts = mock.Mock()
        facts.list_versions.return_value = {'v1', 'v2'}
        facts.target_directory.find.return_value = self.open_target
        facts.target_directory.list_service.return_value = self.targets
        facts.target_directory.is_service_evacuated.return_value = False
        self.coordinator = build_mock_coordinator()
        self.coordinator.origins.find.return_value.version = 'v1'
        self.coordinator.acquire.side_effect = lambda *unused: (
            gevent.event.Event().wait(5.0)
        )
        admission = mock.Mock()
        admission.admit.side_effect = lambda request: AdmittedCall(
            request,
            call_headers.decode_call_headers(
                {'resumes': 'a', 'last-event-id': '1'}
            ),
            ROUTE._replace(is_streaming=True),
            None,
            'desk',
            1,
            0,
            clock.now_ms() + 3_000,
        )
        self.handler = call_handler.CallHandler(
            facts,
            admission,
            self.coordinator,
            mock.Mock(),
            self.closed_targets,
            clock,
            mock.Mock(),
            ('127.0.0.1:1', 'domain'),
            next(iter(RANK_ORDERS.values())),
            mock.Mock(),
        )

    def serve(self, *, has_begun: bool = False) -> gevent.Greenlet:
        """Serve a stream that the first version has begun."""
        self.reply = mock.Mock(has_begun=has_begun, sends=SendRecord())
        greenlet = gevent.spawn(self.handler.serve, REQUEST, self.reply)
        gevent.sleep(0.01)
        return greenlet

    def check_refused(self, greenlet: gevent.Greenlet) -> None:
        """Check that the caller is told of the pause at once."""
        greenlet.join(0.5)
        status, _, headers, body = self.reply.send_answer.call_args.args
        self.assertEqual((503, b'{"reason":"targets_paused"}'), (status, body))
        self.assertLessEqual(0.9, float(dict(headers)['Retry-After']))

    # Guards against a slot that is requested although no target may run it.
    def test_call_in_a_pause_is_refused(self) -> None:
        """Neither a leaving target nor one of another version counts."""
        self.closed_targets.record_pause(self.open_target, 1_000)
        self.check_refused(self.serve())
        self.coordinator.acquire.assert_not_called()

    # Guards against other instances that avoid the target for the pause.
    def test_pause_says_nothing_of_the_health_of_a_target(self) -> None:
        """The decider gets the outcome that it doesn't record."""
        self.coordinator.acquire.side_effect = None
        self.coordinator.acquire.return_value = SlotDecision('c', 'i', 'i-1')

        def run(tried: object) -> AttemptReport:
            self.closed_targets.record_pause(self.open_target, 1_000)
            return AttemptReport(
                AttemptOutcome.TURNED_AWAY, asks_for_pause=True
            )

        with mock.patch.object(Attempt, 'run', run):
            self.check_refused(self.serve())
        outcome = self.coordinator.release.call_args.args[2]
        self.assertIs(SlotOutcome.UNSUITED, outcome)

    # Guards against a call that waits on although no target may run it.
    def test_waiting_call_is_refused(self) -> None:
        """The pause begins, or the last other target leaves, meanwhile."""
        other = build_target('i-4')._replace(software_version='v1')
        for case in ('pause', 'leaving'):
            with self.subTest(case):
                if case == 'leaving':
                    self.targets.append(other)
                greenlet = self.serve()
                self.assertFalse(greenlet.ready())
                if case == 'leaving':
                    self.closed_targets.record_leaving(other)
                else:
                    self.closed_targets.record_pause(self.open_target, 2_000)
                self.check_refused(greenlet)

    # Guards against a stream that is cut although its target is soon back.
    def test_stream_that_has_begun_waits_for_a_short_pause(self) -> None:
        """It is ended at once in a pause that its caller won't wait for."""
        self.closed_targets.record_pause(self.open_target, 100)
        greenlet = self.serve(has_begun=True)
        self.coordinator.acquire.assert_not_called()
        gevent.sleep(0.2)
        self.assertEqual([False], self.list_excluding('i-1'))
        self.assertFalse(greenlet.ready())
        self.closed_targets.record_pause(self.open_target, 2_100)
        self.assertTrue(self.serve(has_begun=True).ready())

    # Guards against calls that each go through all targets at a pause.
    def test_waiting_call_with_an_open_target_costs_little(self) -> None:
        """The open targets are listed once, for all calls."""
        other = build_target('i-4')._replace(software_version='v1')
        self.targets.append(other)
        for _ in range(5):
            self.serve()
        with mock.patch.object(
            self.closed_targets,
            'is_leaving',
            side_effect=self.closed_targets.is_leaving,
        ) as is_leaving:
            self.closed_targets.record_pause(other, 1_000)
        self.assertEqual(len(self.targets), is_leaving.call_count)

    # Guards against a target that is left to later calls after its pause.
    def test_waiting_call_asks_again_after_a_pause(self) -> None:
        """The end of a pause that was lengthened counts."""
        other = build_target('i-4')._replace(software_version='v1')
        self.targets.append(other)
        self.closed_targets.record_pause(other, 50)
        self.closed_targets.record_pause(other, 150)
        self.serve()
        gevent.sleep(0.1)
        self.assertEqual([True], self.list_excluding('i-4'))
        gevent.sleep(0.2)
        self.assertEqual([True, False], self.list_excluding('i-4'))
        # Each call would pay for a pause that is kept.
        self.assertEqual(0, len(self.closed_targets.pauses))

    # Guards against a target that is lost to a call for one pause, and
    # against a call that follows each of many short ones.
    def test_target_is_excluded_for_good_after_two_pauses(self) -> None:
        """It turns the call away with a pause of 20 ms each time."""
        self.targets.append(
            build_target('i-4')._replace(software_version='v1')
        )

        def acquire(*unused: object) -> SlotDecision:
            if self.list_excluding('i-1')[-1]:
                gevent.event.Event().wait(5.0)
            return SlotDecision('c', 'i', 'i-1')

        def run(tried: object) -> AttemptReport:
            self.closed_targets.record_pause(self.open_target, 20)
            return AttemptReport(
                AttemptOutcome.TURNED_AWAY, asks_for_pause=True
            )

        self.coordinator.acquire.side_effect = acquire
        with mock.patch.object(Attempt, 'run', run):
            self.serve()
            gevent.sleep(0.2)
        self.assertEqual(
            [False, True, False, True], self.list_excluding('i-1')
        )

    def list_excluding(self, target: str) -> list[bool]:
        """Return for each slot request whether it excludes a target."""
        calls = self.coordinator.acquire.call_args_list
        return [target in item.args[0].excluded for item in calls]


if __name__ == '__main__':
    unittest.main()
