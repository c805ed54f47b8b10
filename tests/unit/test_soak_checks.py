"""Checks that the soak test with faults applies to its calls.

A check that can't fail would hide a fault of the system. So each check is
given a call that violates it.
"""

from collections.abc import Sequence
import unittest

from lagoonbend_devkit.soak import CallFailure
from lagoonbend_devkit.soak import DrainedPeriod
from lagoonbend_devkit.soak import find_violations
from lagoonbend_devkit.soak import InstanceEvent
from lagoonbend_devkit.soak import InstanceEventKind
from lagoonbend_devkit.soak import LimitedPeriod
from lagoonbend_devkit.soak import LinkFault
from lagoonbend_devkit.soak import PausedPeriod
from lagoonbend_devkit.soak import SentRequest
from lagoonbend_devkit.soak import SoakCall
from lagoonbend_devkit.soak import SoakHistory
from lagoonbend_devkit.soak import StreamShares
from lagoonbend_devkit.soak import sum_shares
from lagoonbend_devkit.soak import TargetArrival
from lagoonbend_devkit.soak import TargetCrash
from lagoonbend_devkit.soak import TargetPeriod
from lagoonbend_devkit.soak import TargetRun
from lagoonbend_entry.testing import IncomingRequest

VALID_CALL = SoakCall(
    'a1', 0, 'booking', b'van', '', 200, b'ran van', True, 0.0, 0.1
)
REQUEST = IncomingRequest('POST', '/booking/x', [], {}, b'van', True, True, 0)
RUN = TargetRun('desk-0', 'a1', REQUEST)
NEVER_HARMED: dict[str, tuple[LinkFault, ...]] = dict.fromkeys(
    ('chat-0', 'chat-1', 'desk-0', 'desk-1'), ()
)
CUT_CALL = SoakCall(
    'a1',
    0,
    'booking',
    b'van',
    '',
    0,
    b'',
    False,
    sent_s=10.0,
    duration_s=0.5,
    failure=CallFailure.CUT,
    is_connection_reused=True,
)
SOUND_HISTORY = SoakHistory()
CUT_RUN = RUN._replace(started_s=10.1)
FIRST_TRY = CUT_CALL._replace(attempt='s', route='stream', instance=1)
SECOND_TRY = CUT_CALL._replace(
    attempt='s.1', route='stream', sent_s=10.6, resumes='s', last_event=2
)
READY_PERIODS = {
    'chat-0': TargetPeriod('chat', 'v1'),
    'chat-1': TargetPeriod('chat', 'v1'),
    'chat-2': TargetPeriod('chat', 'v2'),
    'chat-3': TargetPeriod('chat', 'v2'),
}


def build_events(numbers: range, version: str = 'v1') -> bytes:
    """Return events as a target of a version writes them."""
    return b''.join(
        b'id: %d\ndata: piece %d of %b\n\n'
        % (number, number, version.encode())
        for number in numbers
    )


def is_mixed(*answers: bytes) -> bool:
    """Return whether the tries of a stream fail the check of its version."""
    tries = [FIRST_TRY._replace(answer=answers[0])]
    tries += [SECOND_TRY._replace(answer=answer) for answer in answers[1:]]
    violations = find_violations(tries, SOUND_HISTORY)
    return 'stream_has_one_version' in {item.guarantee for item in violations}


def count_needless_refusals(
    refused: int,
    history: SoakHistory = SOUND_HISTORY,
    begun: int = 20,
    version: str = 'v1',
    taken_up: int = 12,
) -> int:
    """Return the number of violations by streams that didn't go on.

    :param refused: number of streams that were taken up and refused.
    :param begun: number of 20 other new streams that began.
    :param version: version that began the streams that were taken up.
    :param taken_up: number of streams that were taken up.
    """
    calls = []
    for number in range(20):
        call = FIRST_TRY._replace(attempt=f'n{number}', status=503)
        calls.append(call._replace(status=200 if number < begun else 503))
    for number in range(taken_up):
        attempt = f's{number}'
        answer = build_events(range(1, 3), version)
        # Its fault keeps it out of the share of new streams.
        calls.append(
            FIRST_TRY._replace(
                attempt=attempt, answer=answer, fault='cut-stream'
            )
        )
        status = 503 if number < refused else 200
        calls.append(
            SECOND_TRY._replace(
                attempt=f'{attempt}.1', resumes=attempt, status=status
            )
        )
    periods = {**READY_PERIODS, **history.target_periods}
    violations = find_violations(
        calls, history._replace(target_periods=periods)
    )
    names = [item.guarantee for item in violations]
    return names.count('taken_up_stream_goes_on')


def find_failed_checks(call: SoakCall, runs: int) -> set[str]:
    """Return the names of the checks that a call fails.

    :param runs: number of times that the target ran the call.
    """
    history = SoakHistory([RUN] * runs)
    return {item.guarantee for item in find_violations([call], history)}


def is_excused(
    call: SoakCall,
    history: SoakHistory = SOUND_HISTORY,
    run_count: int = 1,
) -> bool:
    """Return whether a call without an answer has an excuse."""
    whole_history = history._replace(
        runs=history.runs or [CUT_RUN] * run_count,
        link_faults=NEVER_HARMED | dict(history.link_faults),
    )
    violations = find_violations([call], whole_history)
    return 'read_call_is_answered' not in {
        violation.guarantee for violation in violations
    }


class ChecksOfPausesTest(unittest.TestCase):
    """A target asks instance 0 for a pause of 2 s, which ends at 13 s."""

    def is_kept(
        self,
        *times_s: float,
        instance: int = 0,
        history: SoakHistory = SOUND_HISTORY,
    ) -> bool:
        """Return whether requests at some times are allowed.

        :param instance: number of the instance that sends them.
        """
        arrivals = [TargetArrival('a1', 10.0, 2.0, 11.0)]
        calls = [VALID_CALL]
        for number, at_s in enumerate(times_s):
            attempt = f'late-{number}'
            arrivals.append(TargetArrival(attempt, at_s))
            calls.append(
                VALID_CALL._replace(attempt=attempt, instance=instance)
            )
        violations = find_violations(
            calls, history._replace(arrivals={'desk-0': arrivals})
        )
        return 'pause_is_kept' not in {item.guarantee for item in violations}

    def test_third_request_in_a_pause_is_seen(self) -> None:
        """Those in the first half of a second and after the end may come."""
        self.assertFalse(self.is_kept(11.6, 12.0, 12.9))
        self.assertTrue(self.is_kept(10.5, 11.4, 11.6, 12.9, 13.1))
        self.assertTrue(self.is_kept(11.6, 12.0, 12.9, instance=1))

    def test_pause_holds_for_one_life(self) -> None:
        """That of a target which drained until 12.5 s has ended then."""
        drained = DrainedPeriod('desk-0', 11.1, 12.5, begins_life=True)
        history = SoakHistory(drained_periods=[drained])
        self.assertTrue(self.is_kept(12.6, 12.7, 12.8, history=history))
        self.assertFalse(self.is_kept(11.6, 11.7, 11.8, history=history))
        for period in (
            drained._replace(target='desk-1'),
            drained._replace(begins_life=False),
        ):
            other = SoakHistory(drained_periods=[period])
            self.assertFalse(self.is_kept(12.6, 12.7, 12.8, history=other))

    def test_interruption_excuses_requests_in_a_pause(self) -> None:
        """A restart, a pause of the instance, or a cut of its link."""
        killed = InstanceEvent(0, InstanceEventKind.KILLED, 11.5)
        for history in (
            SoakHistory(events=[killed]),
            SoakHistory(paused_periods=[PausedPeriod(0, 11.2, 11.3)]),
            SoakHistory(link_faults={'desk-0': (LinkFault(11.2, 11.3),)}),
        ):
            with self.subTest(history):
                is_kept = self.is_kept(11.6, 12.0, 12.9, history=history)
                self.assertTrue(is_kept)


class RetryBudgetTest(unittest.TestCase):
    """A stream that its target cuts is not repeated."""

    def is_excused(self, repeat_count: int, instance: int = 0) -> bool:
        """Return whether earlier repeats of an instance excuse that.

        They are those of 60 requests in the window: 0.8 x (0.2 x 61 + 50 / 4)
        is 19.8.
        """
        cut = CUT_CALL._replace(route='stream', fault='cut-stream')
        others = [
            cut._replace(attempt=f'b{number}', sent_s=5.0, instance=instance)
            for number in range(60)
        ]
        sent = [SentRequest('a1', 10.1)]
        for number, other in enumerate(others):
            count = 2 if number < repeat_count else 1
            sent += [SentRequest(other.attempt, 5.1)] * count
        history = SoakHistory(calls=[cut, *others], sent={'desk-0': sent})
        return is_excused(cut, history)

    def test_used_budget_excuses_a_stream_that_is_not_repeated(self) -> None:
        """Only that of its own instance does."""
        self.assertFalse(self.is_excused(18))
        self.assertTrue(self.is_excused(19))
        self.assertFalse(self.is_excused(40, instance=1))


class LimitsTest(unittest.TestCase):
    """A target takes 2 requests a second; instance 0 is told at 10.1 s."""

    def is_kept(
        self,
        count: int,
        at_s: float,
        instance: int = 0,
        history: SoakHistory = SOUND_HISTORY,
    ) -> bool:
        """Return whether so many requests at a time keep the limit."""
        told = VALID_CALL._replace(attempt='told', sent_s=10.0)
        calls = [told]
        arrivals = []
        for number in range(count):
            attempt = f'b{number}'
            calls.append(
                VALID_CALL._replace(attempt=attempt, instance=instance)
            )
            arrivals.append(TargetArrival(attempt, at_s + number / 100))
        found = find_violations(
            [],
            history._replace(
                calls=calls,
                runs=[RUN._replace(attempt='told', started_s=10.05)],
                arrivals={'desk-0': arrivals},
                limited_periods=[LimitedPeriod('desk-0', 2.0, 9.9, 30.0)],
            ),
        )
        return 'limit_is_kept' not in {item.guarantee for item in found}

    def test_requests_beyond_the_limit_are_seen(self) -> None:
        """In 4 s, 1.5 x 2 x 4 + 5 are allowed, from 13.1 s on."""
        self.assertTrue(self.is_kept(17, 14.0))
        self.assertFalse(self.is_kept(18, 14.0))
        self.assertTrue(self.is_kept(18, 12.0))

    def test_instances_that_are_excused_do_not_count(self) -> None:
        """Those not told, restarted, or behind a link that was cut."""
        self.assertTrue(self.is_kept(40, 14.0, instance=1))
        killed = InstanceEvent(0, InstanceEventKind.KILLED, 11.5)
        for history in (
            SoakHistory(events=[killed]),
            SoakHistory(link_faults={'desk-0': (LinkFault(11.2, 11.3),)}),
        ):
            self.assertTrue(self.is_kept(40, 14.0, history=history))


class CrashingPromptsTest(unittest.TestCase):
    """Five engines ended under a block, the last one at 14 s."""

    def find_violations(
        self,
        late_times_s: Sequence[float],
        events: Sequence[InstanceEvent] = (),
    ) -> set[str]:
        """Return the guarantees that late requests with the block break."""
        request = REQUEST._replace(
            header_map={'prefix-hash': 'system:9,bad:9,own:9'}
        )
        crashing_calls = []
        runs = []
        for number, at_s in enumerate([10, 11, 12, 13, 14, *late_times_s]):
            attempt = f'bad-{number}'
            crashing_calls.append(
                VALID_CALL._replace(attempt=attempt, sent_s=at_s)
            )
            runs.append(TargetRun('chat-0', attempt, request, started_s=at_s))
        history = SoakHistory(
            runs=runs,
            events=events,
            crashes=[
                TargetCrash(f'chat-{number}', 'bad', 10.0 + number)
                for number in range(5)
            ],
            crashing_calls=crashing_calls,
        )
        return {item.guarantee for item in find_violations([], history)}

    def test_fourth_late_request_is_seen(self) -> None:
        """Those within 3 s of the fifth end may come."""
        broken = {'crashing_prompts_stop'}
        self.assertEqual(set(), self.find_violations([16.9] * 9))
        self.assertEqual(set(), self.find_violations([17.1] * 3))
        self.assertEqual(broken, self.find_violations([17.1] * 4))

    def test_fourth_late_retry_of_a_request_is_seen(self) -> None:
        """Those within 3 s of the third end may come."""
        path = '/look-up/crash0'
        request = REQUEST._replace(path=path)
        for late_s, late_count, is_kept in (
            (14.9, 9, True),
            (15.1, 3, True),
            (15.1, 4, False),
        ):
            times_s = [10.0, 11.0, 12.0, *[late_s] * late_count]
            attempts = [f'crash0-{number}' for number in range(len(times_s))]
            history = SoakHistory(
                runs=[
                    TargetRun('desk-0', attempt, request, started_s=at_s)
                    for attempt, at_s in zip(attempts, times_s, strict=True)
                ],
                crashes=[
                    TargetCrash(f'desk-{number}', path, 10.0 + number)
                    for number in range(3)
                ],
                crashing_calls=[
                    VALID_CALL._replace(attempt=attempt, sent_s=at_s)
                    for attempt, at_s in zip(attempts, times_s, strict=True)
                ],
            )
            found = {item.guarantee for item in find_violations([], history)}
            self.assertEqual(is_kept, 'crashing_requests_stop' not in found)

    def test_restart_excuses_late_requests(self) -> None:
        """An instance that has just started may not know the block."""
        kill = InstanceEvent(0, InstanceEventKind.KILLED, 15.0)
        self.assertEqual(set(), self.find_violations([17.1] * 4, [kill]))

    def test_refused_sound_prompts_are_seen(self) -> None:
        """Half of the usual share must begin from 20 s on."""
        for refused_count, is_kept in ((12, True), (18, False)):
            usual = [
                VALID_CALL._replace(
                    attempt=f'u{number}', route='stream', sent_s=5.0
                )
                for number in range(30)
            ]
            beside = [
                call._replace(
                    attempt=f's{number}',
                    sent_s=21.0,
                    status=503 if number < refused_count else 200,
                )
                for number, call in enumerate(usual)
            ]
            history = SoakHistory(
                crashes=[TargetCrash('chat-9', 'bad', 14.0)],
                crashing_calls=[
                    VALID_CALL._replace(attempt='bad-1', sent_s=25.0)
                ],
                target_periods=READY_PERIODS,
            )
            found = {
                item.guarantee
                for item in find_violations(usual + beside, history)
            }
            self.assertEqual(is_kept, 'sound_prompts_go_on' not in found)


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

    def test_unanswered_call_without_an_excuse_is_seen(self) -> None:
        """The instance, the target and the link were sound."""
        late_close = CUT_CALL._replace(failure=CallFailure.CLOSED)
        early_close = late_close._replace(duration_s=0.1)
        new_connection = early_close._replace(is_connection_reused=False)
        refused = new_connection._replace(failure=CallFailure.NOT_CONNECTED)
        reset_look_up = CUT_CALL._replace(route='look-up', fault='reset')
        for call, run_count in (
            (CUT_CALL, 1),
            (CUT_CALL._replace(fault='pause'), 1),
            (late_close, 0),
            (early_close, 1),
            (new_connection, 0),
            (refused, 0),
            (reset_look_up, 1),
            (CUT_CALL._replace(duration_s=2.9), 1),
        ):
            self.assertFalse(is_excused(call, run_count=run_count), call)

    def test_planned_work_is_no_excuse(self) -> None:
        """A call ends beside a change, SIGHUP or SIGTERM without an answer."""
        for kind in (InstanceEventKind.RELOADED, InstanceEventKind.STOPPED):
            history = SoakHistory(events=[InstanceEvent(0, kind, 10.2)])
            self.assertFalse(is_excused(CUT_CALL, history))
        history = SoakHistory(configuration_times_s=[10.2])
        self.assertFalse(is_excused(CUT_CALL, history))

    def test_kill_and_pause_excuse_calls_of_their_instance(self) -> None:
        """They count during the call and a second before, and only there."""
        for instance, at_s, is_valid in (
            (0, 10.2, True),
            (0, 9.5, True),
            (0, 8.5, False),
            (0, 10.7, False),
            (1, 10.2, False),
        ):
            kill = InstanceEvent(instance, InstanceEventKind.KILLED, at_s)
            self.assertEqual(
                is_valid, is_excused(CUT_CALL, SoakHistory(events=[kill]))
            )
            pause = PausedPeriod(instance, at_s - 0.1, at_s)
            self.assertEqual(
                is_valid,
                is_excused(CUT_CALL, SoakHistory(paused_periods=[pause])),
            )

    def test_new_connection_is_excused_while_the_instance_is_down(
        self,
    ) -> None:
        """The time from a stop until the instance listens again counts."""
        history = SoakHistory(
            events=[
                InstanceEvent(0, InstanceEventKind.STOPPED, 5.0),
                InstanceEvent(0, InstanceEventKind.LISTENING, 10.05),
            ]
        )
        refused = CUT_CALL._replace(
            failure=CallFailure.NOT_CONNECTED, is_connection_reused=False
        )
        closed = refused._replace(failure=CallFailure.CLOSED, duration_s=0.1)
        for call, is_valid in (
            (refused, True),
            (closed, True),
            (closed._replace(duration_s=0.3), False),
            (refused._replace(sent_s=10.2), False),
            (refused._replace(instance=1), False),
            (CUT_CALL, False),
        ):
            self.assertEqual(
                is_valid, is_excused(call, history, run_count=0), call
            )

    def test_request_that_crossed_a_close_is_excused(self) -> None:
        """It had a kept connection, ended at once, and has not run."""
        call = CUT_CALL._replace(failure=CallFailure.CLOSED, duration_s=0.1)
        self.assertTrue(is_excused(call, run_count=0))
        self.assertFalse(is_excused(call, run_count=1))

    def test_request_behind_an_announced_close_is_excused(self) -> None:
        """Only if it has not run, and the close was announced."""
        call = CUT_CALL._replace(
            failure=CallFailure.CLOSED, queued_s=0.4, is_behind_close=True
        )
        self.assertTrue(is_excused(call, run_count=0))
        self.assertFalse(is_excused(call, run_count=1))
        kept = call._replace(is_behind_close=False)
        self.assertFalse(is_excused(kept, run_count=0))

    def test_time_in_the_queue_of_a_connection_is_no_delay(self) -> None:
        """Neither a late answer nor a time-out is counted from the sending."""
        late = VALID_CALL._replace(duration_s=6.0)
        self.assertEqual({'answer_comes_in_time'}, find_failed_checks(late, 1))
        queued = late._replace(queued_s=2.5)
        self.assertEqual(set(), find_failed_checks(queued, 1))
        closed = CUT_CALL._replace(duration_s=3.5, failure=CallFailure.CLOSED)
        self.assertTrue(is_excused(closed))
        self.assertFalse(is_excused(closed._replace(queued_s=1.0)))

    def test_time_out_that_cuts_an_answer_runs_from_the_sending(self) -> None:
        """The time in the queue counts, since it passes for the caller too."""
        cut = CUT_CALL._replace(duration_s=3.5, queued_s=1.0)
        self.assertTrue(is_excused(cut))
        self.assertFalse(is_excused(cut._replace(duration_s=2.9)))

    def test_target_that_broke_off_excuses_calls_without_an_attempt_left(
        self,
    ) -> None:
        """A route that may repeat needs two runs, or no other target."""
        for fault in ('reset', 'noise', 'truncated', 'cut-stream'):
            call = CUT_CALL._replace(fault=fault)
            self.assertTrue(is_excused(call))
            look_up = call._replace(route='look-up')
            self.assertFalse(is_excused(look_up))
            self.assertTrue(is_excused(look_up, run_count=2))
            drained = SoakHistory(
                drained_periods=[DrainedPeriod('desk-1', 9.0, 9.5)]
            )
            self.assertTrue(is_excused(look_up, drained))
            cut_link = {'desk-1': (LinkFault(10.0, 10.1),)}
            self.assertTrue(
                is_excused(look_up, SoakHistory(link_faults=cut_link))
            )

    def test_harmed_link_excuses_calls_that_ran_behind_it(self) -> None:
        """The link to the target of the run was harmed during the run."""
        for target, start_s, end_s, is_valid in (
            ('desk-0', 10.2, 10.2, True),
            ('desk-0', 9.0, 10.2, True),
            ('desk-0', 9.0, 10.0, False),
            ('desk-1', 10.2, 10.2, False),
        ):
            history = SoakHistory(
                link_faults={target: (LinkFault(start_s, end_s),)}
            )
            self.assertEqual(is_valid, is_excused(CUT_CALL, history))

    def test_time_out_is_an_excuse(self) -> None:
        """The time-out of the route or of the caller was reached."""
        self.assertTrue(is_excused(CUT_CALL._replace(duration_s=3.0)))
        self.assertTrue(
            is_excused(CUT_CALL._replace(failure=CallFailure.TIMED_OUT))
        )

    def test_stream_of_two_versions_is_seen(self) -> None:
        """In one answer, or over the tries of its caller."""
        begin, end = build_events(range(1, 3)), build_events(range(3, 6))
        other_end = build_events(range(3, 6), 'v2')
        self.assertFalse(is_mixed(begin + end))
        self.assertFalse(is_mixed(begin, end))
        self.assertFalse(is_mixed(begin, b'', end))
        self.assertTrue(is_mixed(begin + other_end))
        self.assertTrue(is_mixed(begin, other_end))
        self.assertTrue(is_mixed(begin, b'', other_end))

    def test_gap_and_repeat_in_a_stream_are_seen(self) -> None:
        """Between two tries, and within one."""
        begin = build_events(range(1, 3))
        for first in (1, 2, 4):
            end = build_events(range(first, 6))
            self.assertTrue(is_mixed(begin, end))
            self.assertTrue(is_mixed(begin + end))
        self.assertTrue(is_mixed(build_events(range(2, 6))))

    def test_mixed_whole_answer_is_not_its_own(self) -> None:
        """Nor is one of a version at which the call hasn't run."""
        call = VALID_CALL._replace(route='stream')
        whole = build_events(range(1, 6))
        mixed = build_events(range(1, 3)) + build_events(range(3, 6), 'v2')
        runs = [RUN, RUN._replace(version='v2')]
        for answer, call_runs, is_valid in (
            (whole, runs, True),
            (mixed, runs, False),
            (whole, runs[1:], False),
            (build_events(range(1, 5)), runs, False),
        ):
            violations = find_violations(
                [call._replace(answer=answer)], SoakHistory(call_runs)
            )
            names = {item.guarantee for item in violations}
            self.assertEqual(
                is_valid, 'answer_is_whole_and_own' not in names, answer
            )

    def test_needless_refusals_of_streams_are_seen(self) -> None:
        """Under half of the share of new streams goes on."""
        self.assertEqual(0, count_needless_refusals(6))
        self.assertEqual(7, count_needless_refusals(7))
        self.assertEqual(0, count_needless_refusals(9, begun=10))
        self.assertEqual(10, count_needless_refusals(10, begun=10))
        self.assertEqual(0, count_needless_refusals(11, taken_up=11))

    def test_refusals_are_allowed_beside_faults(self) -> None:
        """Faults of the instance, the store or its targets excuse them."""
        fault = LinkFault(8.0, 8.0)
        old_fault = LinkFault(6.9, 6.9)
        kill = InstanceEvent(0, InstanceEventKind.KILLED, 5.0)
        start = InstanceEvent(0, InstanceEventKind.LISTENING, 8.0)
        late = TargetPeriod('chat', 'v1', start_s=8.0)
        left = TargetPeriod('chat', 'v1', end_s=10.9)
        for history, is_excuse in (
            (SoakHistory(store_faults=[fault]), True),
            (SoakHistory(store_faults=[old_fault]), False),
            (SoakHistory(paused_periods=[PausedPeriod(0, 7.0, 8.0)]), True),
            (SoakHistory(paused_periods=[PausedPeriod(0, 7.0, 7.5)]), False),
            (SoakHistory(paused_periods=[PausedPeriod(2, 7.0, 8.0)]), False),
            (SoakHistory(events=[kill, start]), True),
            (SoakHistory(events=[kill, start._replace(at_s=7.5)]), False),
            (SoakHistory(link_faults={'chat-1': [fault]}), True),
            (SoakHistory(link_faults={'chat-1': [old_fault]}), False),
            (SoakHistory(link_faults={'chat-2': [fault]}), False),
            (
                SoakHistory(drained_periods=[DrainedPeriod('chat-1', 7, 8)]),
                True,
            ),
            (SoakHistory(target_periods={'chat-1': late}), True),
            (SoakHistory(target_periods={'chat-1': left}), True),
        ):
            self.assertEqual(
                0 if is_excuse else 12,
                count_needless_refusals(12, history),
                history,
            )

    def test_shares_are_kept_over_all_seeds(self) -> None:
        """Few streams of each seed count together."""
        shares = [StreamShares(10, 10, 4, 2), StreamShares(10, 10, 4, 1)]
        self.assertFalse(sum_shares(shares).is_large)
        whole = sum_shares([*shares, shares[1]])
        self.assertEqual(StreamShares(30, 30, 12, 4), whole)
        self.assertTrue(whole.is_large)
        self.assertFalse(whole.are_kept)
        self.assertTrue(sum_shares([shares[0]] * 3).are_kept)

    def test_target_of_another_version_can_not_go_on(self) -> None:
        """It is no attempt left, unlike one of the version that began."""
        events = build_events(range(1, 3))
        call = FIRST_TRY._replace(answer=events, fault='cut-stream')
        run = RUN._replace(target='chat-0', attempt='s', started_s=10.1)
        same = READY_PERIODS['chat-1']
        for period, is_valid in (
            (same, False),
            (same._replace(version='v2'), True),
            (same._replace(start_s=9.0), True),
            (same._replace(end_s=10.3), True),
        ):
            history = SoakHistory([run], target_periods={'chat-1': period})
            self.assertEqual(is_valid, is_excused(call, history), period)
        unbegun = call._replace(answer=b'')
        other = {'chat-1': same._replace(version='v2')}
        history = SoakHistory([run], target_periods=other)
        self.assertFalse(is_excused(unbegun, history))

    def test_caller_that_hung_up_has_no_answer(self) -> None:
        """No other end of the connection is excused by that."""
        hung_up = FIRST_TRY._replace(failure=CallFailure.HUNG_UP)
        self.assertTrue(is_excused(hung_up))
        self.assertFalse(is_excused(FIRST_TRY))


if __name__ == '__main__':
    unittest.main()
