"""Caller that sends requests to random instances."""

from collections.abc import Callable
import random
import time

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.call_failure import CallFailure
from lagoonbend_devkit._internal.soak.caller_habit import CallerHabit
from lagoonbend_devkit._internal.soak.caller_request import CallerRequest
from lagoonbend_devkit._internal.soak.soak_connection import SoakConnection
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.stream_event import parse_events

FAILURE_PAUSE_S = 0.05
"""Time from an answer other than 200, or none, to the next request."""
TARGET_FAULT_SHARE = 0.15
TARGET_FAULTS = (
    'reset',
    'error',
    'unsigned',
    'noise',
    'truncated',
    'foreign',
    'cut-stream',
    'turned-away',
)
PAUSE_SHARE = 0.05
PAUSE_FAULTS = ('pause', 'pause-stream')
ROUTES = ('stream', 'once-stream', 'booking', 'look-up')
CALL_TIMEOUT_S = 8.0
HANG_UP_SHARE = 0.1
"""Share of the resumable streams that their caller ends after an event, as
when its network is lost."""
RESUMABLE_ROUTE = 'stream'
STREAM_ROUTES = ('stream', 'once-stream')
SOUND_BLOCKS = ('system', 'team')
"""Blocks of all prompts."""
BREAKS = (CallFailure.CUT, CallFailure.HUNG_UP)
"""Failures after which a caller takes up a stream."""
MAX_TRIES = 4


class SoakCaller:
    """Sends requests on one connection after the other.

    :param fleet: fleet of the instances.
    :param seed: seed of the random choices.
    :param number: number of the caller, unique in a soak.
    :param habit: how it uses its connections.
    :param calls: receives each call.
    """

    def __init__(
        self,
        fleet: gateway_fleet.GatewayFleet,
        seed: int,
        number: int,
        habit: CallerHabit,
        calls: list[SoakCall],
    ) -> None:
        self._fleet = fleet
        self._number = number
        self._habit = habit
        self._calls = calls
        self._call_count = 0
        self._rng = random.Random(f'{seed}/{number}')
        self._pause_rng = random.Random(f'{seed}/{number}/pauses')
        self._break_rng = random.Random(f'{seed}/{number}/breaks')

    def run(self, is_stopping: Callable[[], bool]) -> None:
        """Send requests until ``is_stopping`` returns True."""
        while not is_stopping():
            instance = self._rng.randrange(len(self._fleet.processes))
            connection = connect(self._fleet, instance)
            call_limit = self._rng.randrange(
                1, self._habit.connection_calls_end
            )
            while (
                connection.request_count < call_limit
                and connection.is_usable()
                and not is_stopping()
            ):
                calls = exchange_calls(
                    connection,
                    instance,
                    [
                        self._choose_request()
                        for _ in range(self._habit.pipelined_count)
                    ],
                )
                self._calls.extend(calls)
                is_served = all(call.status == 200 for call in calls)
                gevent.sleep(
                    self._habit.pause_s if is_served else FAILURE_PAUSE_S
                )
                if not calls[-1].status:
                    break
            connection.close()
            for call in calls:
                self._take_up(call)

    def _take_up(self, first_call: SoakCall) -> None:
        """Take up a stream that broke, until it is whole or out of time."""
        if (
            first_call.route != RESUMABLE_ROUTE
            or first_call.failure not in BREAKS
            or not parse_events(first_call.answer)
        ):
            return
        call = first_call
        last_event = 0
        for number in range(1, MAX_TRIES):
            for event in parse_events(call.answer)[-1:]:
                last_event = event.number
            left_s = first_call.sent_s + CALL_TIMEOUT_S - time.monotonic()
            if left_s <= 0 or call.status == 200:
                return
            instance = self._choose_other_instance(call.instance)
            request = CallerRequest(
                RESUMABLE_ROUTE,
                f'{first_call.attempt}.{number}',
                resumes=first_call.attempt,
                last_event=last_event,
                blocks=SOUND_BLOCKS,
            )
            connection = connect(self._fleet, instance, left_s)
            (call,) = exchange_calls(connection, instance, [request])
            connection.close()
            self._calls.append(call)
            if call.status != 200:
                gevent.sleep(FAILURE_PAUSE_S)

    def _choose_other_instance(self, instance: int) -> int:
        count = len(self._fleet.processes)
        return (instance + self._break_rng.randrange(1, count)) % count

    def _choose_request(self) -> CallerRequest:
        """Return the next request."""
        self._call_count += 1
        fault = ''
        if self._rng.random() < TARGET_FAULT_SHARE:
            fault = self._rng.choice(TARGET_FAULTS)
        elif self._pause_rng.random() < PAUSE_SHARE:
            fault = self._pause_rng.choice(PAUSE_FAULTS)
        attempt = f'{self._number}-{self._call_count}'
        route = self._rng.choice(ROUTES)
        hangs_up = (
            route == RESUMABLE_ROUTE
            and self._habit.pipelined_count == 1
            and self._break_rng.random() < HANG_UP_SHARE
        )
        blocks = SOUND_BLOCKS if route in STREAM_ROUTES else ()
        return CallerRequest(route, attempt, fault, hangs_up, blocks=blocks)


def connect(
    fleet: gateway_fleet.GatewayFleet,
    instance: int,
    timeout_s: float = CALL_TIMEOUT_S,
) -> SoakConnection:
    """Return a connection to an instance; its first request opens it."""
    return SoakConnection(fleet.callers_port(instance), timeout_s)


def exchange_calls(
    connection: SoakConnection,
    instance: int,
    requests: list[CallerRequest],
) -> list[SoakCall]:
    """Send requests, then read their answers in order.

    :param instance: number of the instance.
    :param requests: requests to send.
    """
    calls = []
    for request in requests:
        is_reused = connection.request_count > 0
        body = (
            request.body
            or f'body of {request.resumes or request.attempt}'.encode()
        )
        headers = gateway_fleet.build_call_headers(
            request.attempt,
            request.fault,
            resumes=request.resumes,
            last_event=request.last_event,
            blocks=request.blocks,
        )
        sent_s = time.monotonic()
        path = f'/{request.route}/{request.item}'
        connection.send(encode_request(path, headers, body))
        calls.append(
            SoakCall(
                request.attempt,
                instance,
                request.route,
                body,
                request.fault,
                0,
                b'',
                False,
                sent_s,
                0.0,
                is_connection_reused=is_reused,
                connection_age_s=sent_s - connection.opened_s,
                resumes=request.resumes,
                last_event=request.last_event,
            )
        )
    queue_end_s = calls[0].sent_s
    is_behind_close = False
    for number, call in enumerate(calls):
        answer, failure = connection.read_answer(
            hangs_up=requests[number].hangs_up
        )
        calls[number] = call._replace(
            status=answer.status,
            answer=answer.body,
            is_signed='server-stamp' in answer.headers,
            duration_s=time.monotonic() - call.sent_s,
            failure=failure,
            queued_s=max(0.0, queue_end_s - call.sent_s),
            is_behind_close=is_behind_close,
        )
        queue_end_s = calls[number].end_s
        is_behind_close = not connection.keeps_connection
    return calls


def encode_request(path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a POST request."""
    lines = [f'POST {path} HTTP/1.1', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    return '\r\n'.join([*lines, '', '']).encode() + body
