"""Targets that send bytes without end to a real instance.

Guards against calls that wait for such bytes although another target could
answer them.
"""

import os
import pathlib
import statistics
import time
import unittest

import gevent
import gevent.socket

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call
from tests.lib import endless_target

DEADLINE_MS = 2_900
MAX_DURATION_S = 1.5
"""Half of the deadline: no call may wait for it."""
CALL_COUNT = 50
TARGET_COUNT = 25
"""Targets of four slots each; twice as many slots as calls."""
MAX_MEMORY_KB = 128 * 1_024
"""Memory of the smallest instance."""
OBJECTIVE_S = 0.3
"""Objective of the routes, for the median of other calls meanwhile, without
the time for which the instance or the caller waited for a processor."""
MAX_DELAY_S = 0.5
"""The same for the slowest; the endless bytes are sent by the process that
makes the calls, which delays them too."""
NANOSECONDS_PER_SECOND = 1_000_000_000
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
SMALL_CHUNK = b'1\r\nx\r\n'
REJECTION = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
FOREIGN = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
OWN_ANSWER = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STREAM = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\nid: 1\ndata: '
)

STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
PLAY_S = 2.0
MAX_STREAM_DELAY_S = OBJECTIVE_S + 0.5
"""The users' rule: half a second after the time for an answer."""


def encode_chunk(content: bytes) -> bytes:
    """Return content as a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


ENDLESS_PIECES = {
    'blank lines': encode_chunk(b'\n' * 16_384),
    'blank lines with CRLF': encode_chunk(b'\r\n' * 16_384),
    'comments': encode_chunk(b':\n\n' * 16_384),
    'events that were sent': encode_chunk(b'id: 1\ndata: x\n\n' * 4_096),
    'events without identity': encode_chunk(b'data: x\n\n' * 6_144),
    'chunks of one byte': b''.join(map(encode_chunk, (b':', b'\n', b'\n')))
    * 4_096,
}


class BytesWithoutEndTest(unittest.TestCase):
    """One instance and two targets."""

    def play(
        self,
        head: bytes,
        piece: bytes,
        *,
        route: str = 'look-up',
        pause_s: float = 0.0,
        repeats: bool = False,
    ) -> Answer:
        """Send one call; check that it ends in time and return its answer."""
        targets = endless_target.EndlessTargets(
            2,
            endless_target.EndlessBytes(head, piece, pause_s),
            repeats=repeats,
        )
        service = 'chat' if 'stream' in route else 'desk'
        try:
            with gateway_fleet.GatewayFleet(
                1, engine_count=0, service_count=0
            ) as fleet:
                for number, endpoint in enumerate(targets.endpoints):
                    fleet.register_endpoint(
                        f'{service}-{number}', service, endpoint
                    )
                gevent.sleep(1.0)
                start_s = time.monotonic()
                _, answer = call(
                    fleet, route, method='GET', Deadline_Ms=str(DEADLINE_MS)
                )
                duration_s = time.monotonic() - start_s
        finally:
            targets.stop()
        self.assertLess(duration_s, MAX_DURATION_S)
        return answer

    def check_answered(
        self,
        head: bytes,
        piece: bytes,
        *,
        route: str = 'look-up',
        pause_s: float = 0.0,
    ) -> None:
        """Check that the other target answers the call."""
        answer = self.play(head, piece, route=route, pause_s=pause_s)
        self.assertEqual(200, answer.status)
        self.assertEqual(endless_target.SOUND_BODY, answer.body)

    # Guards against a head without end that uses up the time of a call.
    def test_head(self) -> None:
        """Another target answers."""
        self.check_answered(b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 4_000)

    # Guards against an event without end that uses up the time of a call.
    def test_event(self) -> None:
        """Another target streams."""
        self.check_answered(STREAM, b'b' * 65_536, route='stream')

    # Guards against a rejection whose body is read until the deadline.
    def test_rejection(self) -> None:
        """The status suffices, and another target answers."""
        self.check_answered(REJECTION, CHUNK)

    # Guards against limits on bytes alone: these come slowly.
    def test_slow_rejection(self) -> None:
        """The status suffices, and another target answers."""
        self.check_answered(REJECTION, SMALL_CHUNK, pause_s=0.02)

    # Guards against a rejection that is forgotten when its body is given up.
    def test_rejection_of_a_call_that_may_not_run_twice(self) -> None:
        """It has not run, so another target may run it."""
        self.check_answered(REJECTION, CHUNK, route='booking')

    # Guards against an answer to an earlier call that is read until the end.
    def test_foreign_answer(self) -> None:
        """Another target answers."""
        self.check_answered(FOREIGN, CHUNK)

    # Guards against a foreign answer that comes slowly.
    def test_slow_foreign_answer(self) -> None:
        """Another target answers once this one could have."""
        self.check_answered(FOREIGN, SMALL_CHUNK, pause_s=0.02)

    # Guards against small answers to earlier calls that never end.
    def test_foreign_answers(self) -> None:
        """Another target answers."""
        answer = FOREIGN + b'0\r\n\r\n'
        self.check_answered(b'', answer * 10)

    # Guards against a silent end where no other target may run the call.
    def test_call_that_may_not_run_twice(self) -> None:
        """It ends with a 502 at once."""
        answer = self.play(FOREIGN, CHUNK, route='booking', repeats=True)
        self.assertEqual(502, answer.status)


class ManyAtOnceTest(unittest.TestCase):
    """One instance, and bytes without end from many targets at once."""

    def play(
        self, head: bytes, piece: bytes, route: str, pause_s: float = 0.0
    ) -> None:
        """Check the memory of the instance and the delay of other calls.

        :param pause_s: pause between pieces; if there is one, all calls must
            be under way at once.
        """
        targets = endless_target.EndlessTargets(
            TARGET_COUNT,
            endless_target.EndlessBytes(head, piece, pause_s),
            repeats=True,
        )
        service = 'chat' if 'stream' in route else 'desk'
        delays_s: list[float] = []
        try:
            with gateway_fleet.GatewayFleet(
                1,
                engine_count=0 if service == 'chat' else 1,
                service_count=0 if service == 'desk' else 1,
            ) as fleet:
                other = 'look-up' if service == 'chat' else 'stream'
                for number, endpoint in enumerate(targets.endpoints):
                    fleet.register_endpoint(
                        f'{service}-endless-{number}', service, endpoint
                    )
                gevent.sleep(1.0)
                calls = [
                    gevent.spawn(
                        call,
                        fleet,
                        route,
                        method='GET',
                        Deadline_Ms=str(DEADLINE_MS),
                    )
                    for _ in range(CALL_COUNT)
                ]
                while not all(greenlet.ready() for greenlet in calls):
                    delays_s.append(self.measure_delay_s(fleet, other))
                    gevent.sleep(0.05)
                memory_kb = find_peak_memory_kb(fleet)
                self.assertTrue(fleet.processes[0].is_running)
        finally:
            targets.stop()
        if pause_s:
            self.assertGreaterEqual(targets.max_active_count, CALL_COUNT)
        self.assertLess(memory_kb, MAX_MEMORY_KB)
        self.assertLess(statistics.median(delays_s), OBJECTIVE_S)
        self.assertLess(max(delays_s), MAX_DELAY_S)

    def measure_delay_s(
        self, fleet: gateway_fleet.GatewayFleet, route: str
    ) -> float:
        """Send a call; return its time without waits for a processor."""
        pids = (fleet.processes[0].pid, os.getpid())
        start_waits_s = [read_processor_wait_s(pid) for pid in pids]
        start_s = time.monotonic()
        _, answer = call(fleet, route, method='GET')
        duration_s = time.monotonic() - start_s
        self.assertEqual(200, answer.status)
        return duration_s - max(
            read_processor_wait_s(pid) - start_wait_s
            for pid, start_wait_s in zip(pids, start_waits_s, strict=True)
        )

    # Guards against an instance that is killed for the sum of its heads.
    def test_heads(self) -> None:
        """The memory stays bounded, and other calls are answered."""
        self.play(b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 400, 'look-up', 0.1)

    # Guards against an instance that is killed for the sum of its events.
    def test_events(self) -> None:
        """The memory stays bounded, and other calls are answered."""
        self.play(STREAM, b'b' * 32_768, 'stream', 0.05)

    # Guards against an instance that is killed for the sum of its bodies.
    def test_bodies(self) -> None:
        """The memory stays bounded, and other calls are answered."""
        self.play(OWN_ANSWER, CHUNK, 'look-up', 0.05)

    # Guards against endless answers that leave no time for other calls.
    def test_bodies_at_full_speed(self) -> None:
        """The memory stays bounded, and other calls are answered."""
        self.play(OWN_ANSWER, CHUNK, 'look-up')


class StreamsWithoutEndTest(unittest.TestCase):
    """One instance; one caller reads a stream as fast as it comes."""

    def play(self, piece: bytes, head: bytes = STREAM_HEAD) -> list[float]:
        """Return the delays of other calls while a piece comes again."""
        targets = endless_target.EndlessTargets(
            1, endless_target.EndlessBytes(head, piece), repeats=True
        )
        try:
            with gateway_fleet.GatewayFleet(
                1, engine_count=0, service_count=1
            ) as fleet:
                fleet.register_endpoint('chat-0', 'chat', targets.endpoints[0])
                gevent.sleep(1.0)
                reader = gevent.spawn(self.read_stream, fleet)
                delays_s = []
                end_s = time.monotonic() + PLAY_S
                while time.monotonic() < end_s:
                    start_s = time.monotonic()
                    _, answer = call(fleet, 'look-up', method='GET')
                    self.assertEqual(200, answer.status)
                    delays_s.append(time.monotonic() - start_s)
                    gevent.sleep(0.05)
                reader.kill()
                self.assertTrue(targets.attempts)
        finally:
            targets.stop()
        return delays_s

    @staticmethod
    def read_stream(fleet: gateway_fleet.GatewayFleet) -> None:
        """Read what the instance sends, and use none of it."""
        with gevent.socket.create_connection(
            ('127.0.0.1', fleet.callers_port(0))
        ) as sock:
            sock.sendall(
                f'GET /stream/item HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n'
                f'Authorization: Bearer {gateway_fleet.API_KEY}\r\n'
                'Attempt-Id: endless\r\nDeadline-Ms: 8000\r\n\r\n'.encode()
            )
            while sock.recv(65_536):
                gevent.sleep(0.001)

    # Guards against a stream of many small events in each read that keeps the
    # instance from answering anything else.
    def test_other_calls_are_answered(self) -> None:
        """Half of them within their objective, and all soon after it."""
        for name, piece in ENDLESS_PIECES.items():
            with self.subTest(name):
                delays_s = self.play(piece)
                self.assertLess(statistics.median(delays_s), OBJECTIVE_S)
                self.assertLess(max(delays_s), MAX_STREAM_DELAY_S)


def read_processor_wait_s(pid: int) -> float:
    """Return how long a process has been ready to run and not running."""
    path = pathlib.Path(f'/proc/{pid}/schedstat')
    return int(path.read_text().split()[1]) / NANOSECONDS_PER_SECOND


def find_peak_memory_kb(fleet: gateway_fleet.GatewayFleet) -> int:
    """Return the peak of the resident memory of the first instance."""
    path = pathlib.Path(f'/proc/{fleet.processes[0].pid}/status')
    return int(path.read_text().partition('VmHWM:')[2].split()[0])


if __name__ == '__main__':
    unittest.main()
