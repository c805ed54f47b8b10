"""Caller that sends requests to random instances."""

from collections.abc import Callable
import random
import time

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.caller_habit import CallerHabit
from lagoonbend_devkit._internal.soak.soak_connection import SoakConnection
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

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

    def _choose_request(self) -> tuple[str, str, str]:
        """Return route, attempt and fault of the next request."""
        self._call_count += 1
        fault = ''
        if self._rng.random() < TARGET_FAULT_SHARE:
            fault = self._rng.choice(TARGET_FAULTS)
        elif self._pause_rng.random() < PAUSE_SHARE:
            fault = self._pause_rng.choice(PAUSE_FAULTS)
        attempt = f'{self._number}-{self._call_count}'
        return self._rng.choice(ROUTES), attempt, fault


def connect(
    fleet: gateway_fleet.GatewayFleet, instance: int
) -> SoakConnection:
    """Return a connection to an instance; its first request opens it."""
    return SoakConnection(fleet.callers_port(instance), CALL_TIMEOUT_S)


def exchange_calls(
    connection: SoakConnection,
    instance: int,
    requests: list[tuple[str, str, str]],
) -> list[SoakCall]:
    """Send requests, then read their answers in order.

    :param instance: number of the instance.
    :param requests: route, attempt and fault of each request.
    """
    calls = []
    for route, attempt, fault in requests:
        is_reused = connection.request_count > 0
        body = f'body of {attempt}'.encode()
        headers = gateway_fleet.build_call_headers(attempt, fault)
        sent_s = time.monotonic()
        connection.send(encode_request(f'/{route}/x', headers, body))
        calls.append(
            SoakCall(
                attempt,
                instance,
                route,
                body,
                fault,
                0,
                b'',
                False,
                sent_s,
                0.0,
                is_connection_reused=is_reused,
                connection_age_s=sent_s - connection.opened_s,
            )
        )
    queue_end_s = calls[0].sent_s
    is_behind_close = False
    for number, call in enumerate(calls):
        answer, failure = connection.read_answer()
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
