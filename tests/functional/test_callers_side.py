"""Requests at the listener for callers of a real instance.

Guards against callers that get the answer of another caller, an incomplete or
late answer, or an unclear error, and against work that goes on at a target
after its caller has left. The causes are concurrent calls, faults of targets,
malformed or slow requests, and callers that close their connections.
"""

import socket
import unittest

import gevent
import msgspec

from lagoonbend_devkit.fleet import Answer
from lagoonbend_devkit.fleet import exchange
from lagoonbend_devkit.fleet import LocalFleet
from tests.lib.chat import write_chat

CHAT_PATH = '/v1/chat/completions'
INSTANCE = 'lake-north-1'
CALLER_COUNT = 40
LONG_ANSWER_TOKENS = 2_000
TIMEOUT_S = 20.0


class CallersSideTest(unittest.TestCase):
    """One fleet for all tests of the class."""

    fleet: LocalFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet."""
        cls.fleet = LocalFleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.__enter__()

    def test_each_of_many_callers_gets_its_own_answer(self) -> None:
        """Concurrent calls through all instances get answers of their own."""
        names = list(self.fleet.instances)
        questions = [
            (names[n % len(names)], f'question {n}', 1 + n % 13)
            for n in range(CALLER_COUNT)
        ]
        jobs = [gevent.spawn(self._ask, *item) for item in questions]
        expected = {
            text: self._ask(*item) for item in questions for text in item[1:2]
        }
        for item, job in zip(questions, jobs, strict=True):
            self.assertEqual(expected[item[1]], job.get(timeout=TIMEOUT_S))
        self.assertEqual(CALLER_COUNT, len(set(expected.values())))

    def test_cut_stream_reaches_the_caller_as_incomplete(self) -> None:
        """The caller gets an error event and then a broken connection."""
        self._set_engine_faults(cut_after=3)
        answer = self.fleet.call(
            INSTANCE, 'POST', CHAT_PATH, body=write_chat('cut')
        )
        self._set_engine_faults()
        self.assertEqual(0, answer.status)
        self.assertIn(b'event: error', answer.body)
        self.assertNotIn(b'[DONE]', answer.body)

    def test_truncated_service_answer_is_refused(self) -> None:
        """Half a body is refused, and the call may have run."""
        self._set_service_faults(truncate=1)
        answer = self.fleet.call(INSTANCE, 'GET', '/maps/1')
        self._set_service_faults()
        problem = msgspec.json.decode(answer.body)
        self.assertEqual(502, answer.status)
        self.assertEqual('incomplete_answer', problem['code'])
        self.assertEqual('may_have_run', problem['verdict'])

    def test_late_target_is_answered_at_the_deadline(self) -> None:
        """The call is refused while the target is still working."""
        self._set_service_faults(delay_ms=4_000)
        answer = self._call_with_deadline(300)
        executed = self.fleet.read_executions().count('late')
        self._set_service_faults()
        problem = msgspec.json.decode(answer.body)
        self.assertEqual(504, answer.status)
        self.assertEqual('may_have_run', problem['verdict'])
        self.assertEqual(0, executed)

    def test_stream_of_a_caller_that_left_is_cancelled(self) -> None:
        """The engine stops generating when the caller closes its stream."""
        body = write_chat('leaving', max_tokens=LONG_ANSWER_TOKENS)
        with self._open(CHAT_PATH, body) as sock:
            self.assertIn(b'200 OK', sock.recv(65_536))
        self._wait_for_idle_engines()

    def test_waiting_caller_that_left_is_cancelled(self) -> None:
        """The attempt ends when a caller leaves before its whole answer."""
        body = write_chat(
            'leaving', stream=False, max_tokens=LONG_ANSWER_TOKENS
        )
        with self._open(CHAT_PATH, body):
            self._wait_for_attempts(1)
        self._wait_for_attempts(0)

    def test_bad_requests_get_clear_errors(self) -> None:
        """Each error has its own status and code, and nothing runs."""
        cases = [
            (CHAT_PATH, b'{"model": 1}', 400, 'malformed'),
            (CHAT_PATH, b'not json', 400, 'malformed'),
            ('/nowhere', b'', 404, 'no_rule'),
            ('/maps/../bookings', b'', 400, 'malformed'),
            ('/maps//x', b'', 400, 'malformed'),
            ('/maps/1', b'x' * 1_048_577, 413, 'body_too_large'),
            (CHAT_PATH, write_chat('x', model='none'), 503, 'no_target'),
        ]
        for path, body, status, code in cases:
            with self.subTest(path=path, code=code):
                answer = self.fleet.call(INSTANCE, 'POST', path, body=body)
                problem = msgspec.json.decode(answer.body)
                self.assertEqual(
                    (status, code), (answer.status, problem['code'])
                )
                self.assertEqual('not_run', problem['verdict'])

    def test_encoded_path_reaches_the_target_as_sent(self) -> None:
        """A path with an escaped space is accepted."""
        answer = self.fleet.call(
            INSTANCE, 'GET', '/maps/lake%20shore?q=%C3%A9'
        )
        self.assertEqual(200, answer.status)

    def test_head_leaves_no_work_behind(self) -> None:
        """A HEAD call has no body to relay, and releases its target."""
        self.fleet.call(INSTANCE, 'HEAD', CHAT_PATH, body=write_chat('head'))
        targets = self.fleet.read_dump(INSTANCE)['targets']
        self.assertEqual({0}, {item['outstanding'] for item in targets})

    def test_slow_and_truncated_bodies_hold_up_nobody(self) -> None:
        """Incomplete requests end in 408; others are served meanwhile."""
        head = b'POST /maps/1 HTTP/1.1\r\nHost: x\r\n'
        auth = b'Authorization: Bearer demo-key\r\n'
        slow = [
            self._send(head),
            self._send(head + auth + b'Content-Length: 9\r\n\r\nhalf'),
        ]
        self.assertEqual(
            200, self.fleet.call(INSTANCE, 'GET', '/maps/1').status
        )
        for sock in slow:
            with sock:
                self.assertIn(b' 408 ', sock.recv(65_536))

    def _ask(self, name: str, text: str, max_tokens: int) -> bytes:
        body = write_chat(text, max_tokens=max_tokens)
        answer = self.fleet.call(name, 'POST', CHAT_PATH, body=body)
        self.assertEqual(200, answer.status)
        return answer.body

    def _call_with_deadline(self, deadline_ms: int) -> Answer:
        port = self.fleet.instances[INSTANCE].caller_port
        headers = {
            'Authorization': 'Bearer demo-key',
            'Lagoonbend-Deadline-Ms': str(deadline_ms),
        }
        return exchange(port, 'POST', '/maps/1', body=b'late', headers=headers)

    def _open(self, path: str, body: bytes) -> socket.socket:
        head = (
            f'POST {path} HTTP/1.1\r\nHost: x\r\n'
            'Authorization: Bearer demo-key\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return self._send(head.encode() + body)

    def _send(self, data: bytes) -> socket.socket:
        port = self.fleet.instances[INSTANCE].caller_port
        sock = socket.create_connection(('127.0.0.1', port), TIMEOUT_S)
        sock.sendall(data)
        return sock

    def _wait_for_idle_engines(self) -> None:
        ports = [
            port
            for name, port in self.fleet.target_ports.items()
            if name.startswith('engine')
        ]
        with gevent.Timeout(
            TIMEOUT_S, AssertionError('an engine is still working')
        ):
            while any(self._read_running_count(port) for port in ports):
                gevent.sleep(0.1)

    def _wait_for_attempts(self, count: int) -> None:
        port = self.fleet.instances[INSTANCE].operator_port
        with gevent.Timeout(
            TIMEOUT_S / 2,
            AssertionError('the number of attempts was not reached'),
        ):
            while len(self._read_attempts(port)) != count:
                gevent.sleep(0.1)

    def _read_attempts(self, port: int) -> list[object]:
        answer = exchange(port, 'GET', '/dump')
        attempts: list[object] = msgspec.json.decode(answer.body)['attempts']
        return attempts

    def _read_running_count(self, port: int) -> int:
        answer = exchange(port, 'GET', '/load')
        running: int = msgspec.json.decode(answer.body)['running']
        return running

    def _set_engine_faults(self, **faults: int) -> None:
        self._set_faults('engine', faults)

    def _set_service_faults(self, **faults: int) -> None:
        self._set_faults('service', faults)

    def _set_faults(self, kind: str, faults: dict[str, int]) -> None:
        for name, port in self.fleet.target_ports.items():
            if name.startswith(kind):
                self.fleet.set_faults(port, **faults)
