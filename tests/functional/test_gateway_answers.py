"""Answers of real instances, on stand-ins for the users' platform.

Guards against calls that run more than once, and against answers that are not
whole or belong to another attempt. The header ``X-Fault`` of a call makes the
stand-in targets misbehave: they reset connections, truncate answers, send
noise or foreign answers, or reject the call as full.
"""

import contextlib
import unittest

import gevent.socket

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

ATTEMPT_NUMBERS = iter(range(1_000_000))


def call(
    fleet: gateway_fleet.GatewayFleet,
    route: str,
    *,
    instance: int = 0,
    method: str = 'POST',
    key: str = gateway_fleet.API_KEY,
    body: bytes = b'van on Friday',
    **headers: str,
) -> tuple[str, Answer]:
    """Send one call; return its attempt id and the answer.

    :param headers: further headers, with underscores in place of hyphens.
    """
    attempt = f'a{next(ATTEMPT_NUMBERS)}'
    request_headers = {
        'Host': gateway_fleet.HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': '2500',
        'Authorization': f'Bearer {key}',
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    answer = exchange(
        fleet.callers_port(instance),
        method,
        f'/{route}/item?q=1',
        body=body if method == 'POST' else b'',
        headers=request_headers,
        timeout_s=8.0,
    )
    return attempt, answer


class GatewayAnswersTest(unittest.TestCase):
    """One fleet for all tests; each test sends calls of its own."""

    fleet: gateway_fleet.GatewayFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.fleet = gateway_fleet.GatewayFleet()
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet."""
        cls.fleet.__exit__(None, None, None)

    def list_runs(self, attempt: str) -> list[str]:
        """Return the targets that ran an attempt, in order."""
        return [
            run.target for run in self.fleet.runs if run.attempt == attempt
        ]

    def test_each_kind_of_call_is_served_through_each_instance(self) -> None:
        """Each call runs once; its answer carries the target's stamp."""
        for instance in (0, 1):
            for route in ('booking', 'look-up', 'stream', 'once-stream'):
                with self.subTest(route=route, instance=instance):
                    attempt, answer = call(
                        self.fleet, route, instance=instance
                    )
                    self.assertEqual(200, answer.status)
                    self.assertEqual('stamp', answer.headers['server-stamp'])
                    self.assertEqual(1, len(self.list_runs(attempt)))

    def test_pause_of_a_sound_target_ends_no_answer(self) -> None:
        """Calls that must not run twice, and streams, wait for their target.

        Guards against answers that are broken off because a sound target is
        silent for a second or so.
        """
        for route, fault in (
            ('booking', 'pause'),
            ('once-stream', 'pause'),
            ('once-stream', 'pause-stream'),
            ('stream', 'pause-stream'),
        ):
            with self.subTest(route=route, fault=fault):
                attempt, answer = call(self.fleet, route, X_Fault=fault)
                self.assertEqual(200, answer.status)
                self.assertEqual(1, len(self.list_runs(attempt)))

    def test_target_gets_the_call_unchanged_and_its_customer(self) -> None:
        """The call stays as sent, except for headers that the instance owns.

        It removes the API key, ``Hold`` and ``Pin-Ms``, and sets
        ``Tenant``, ``Expect-Instance`` and ``Deadline-Ms``.
        """
        attempt, _ = call(
            self.fleet, 'booking', Tenant='forged', Hold='h1', Pin_Ms='5'
        )
        run = next(r for r in self.fleet.runs if r.attempt == attempt)
        header_map = run.request.header_map
        self.assertEqual('/booking/item?q=1', run.request.path)
        self.assertEqual(b'van on Friday', run.request.body)
        self.assertEqual(gateway_fleet.CUSTOMER, header_map['tenant'])
        self.assertEqual(run.target, header_map['expect-instance'])
        self.assertLessEqual(int(header_map['deadline-ms']), 2_500)
        for name in ('authorization', 'hold', 'pin-ms'):
            self.assertNotIn(name, header_map)

    # Guards against a booking that runs without its body, since its client
    # offers another protocol as some do by default.
    def test_offer_of_another_protocol_is_ignored(self) -> None:
        """The request runs as sent, and the target gets no offer."""
        attempt, answer = call(
            self.fleet,
            'booking',
            Connection='Upgrade, HTTP2-Settings',
            Upgrade='h2c',
            HTTP2_Settings='AAMAAABkAARAAAAAAAIAAAAA',
        )
        self.assertEqual(200, answer.status)
        run = next(r for r in self.fleet.runs if r.attempt == attempt)
        self.assertEqual(b'van on Friday', run.request.body)
        for name in ('upgrade', 'http2-settings'):
            self.assertNotIn(name, run.request.header_map)

    def test_non_idempotent_call_runs_at_most_once(self) -> None:
        """A call that fails after it was sent is not repeated.

        It gets 502, since 503 would say that it has not run.
        """
        for fault in ('reset', 'truncated', 'noise', 'unsigned'):
            with self.subTest(fault=fault):
                attempt, answer = call(self.fleet, 'booking', X_Fault=fault)
                self.assertEqual(502, answer.status)
                self.assertNotIn('server-stamp', answer.headers)
                self.assertEqual(1, len(self.list_runs(attempt)))

    # Guards against a booking that is made twice, since its target has run it
    # and answered with a status that promises that it hasn't.
    def test_failure_that_promises_what_is_not_so_is_replaced(self) -> None:
        """Callers get 502, which promises nothing, without the signature."""
        for status in (408, 429, 503):
            for route in ('booking', 'once-stream'):
                with self.subTest(status=status, route=route):
                    attempt, answer = call(
                        self.fleet, route, X_Fault=f'ran-{status}'
                    )
                    self.assertEqual(502, answer.status)
                    self.assertNotIn('server-stamp', answer.headers)
                    self.assertEqual(1, len(self.list_runs(attempt)))

    def test_idempotent_call_goes_to_another_target(self) -> None:
        """One faulty target does not make an idempotent call fail."""
        for fault in ('reset', 'truncated', 'noise', 'unsigned', 'error'):
            with self.subTest(fault=fault):
                names = ('desk-0', 'desk-1')
                answers = [
                    call(
                        self.fleet,
                        'look-up',
                        method='GET',
                        X_Fault=f'{fault}@{name}',
                    )[1]
                    for name in names
                ]
                self.assertEqual([200, 200], [a.status for a in answers])

    def test_call_rejected_as_full_is_sent_elsewhere_or_refused(self) -> None:
        """A call rejected as full runs at another target, or gets 503."""
        attempt, answer = call(
            self.fleet, 'booking', X_Fault='turned-away@desk-0'
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(['desk-1'], self.list_runs(attempt))
        attempt, answer = call(self.fleet, 'booking', X_Fault='turned-away')
        self.assertEqual(503, answer.status)
        self.assertIn('retry-after', answer.headers)
        self.assertEqual([], self.list_runs(attempt))

    def test_demand_for_another_version_ejects_no_target(self) -> None:
        """Only the call that demands the version is refused.

        The target is not ejected, since the next call reaches it.
        """
        attempt, answer = call(self.fleet, 'booking', Expect_Version='7')
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.list_runs(attempt))
        attempt, answer = call(self.fleet, 'booking')
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.list_runs(attempt)))

    def test_own_error_of_a_target_reaches_the_caller(self) -> None:
        """Status, stamp and body are relayed as the target sent them."""
        _, answer = call(self.fleet, 'booking', X_Fault='error')
        self.assertEqual(500, answer.status)
        self.assertEqual(b'failed', answer.body)
        self.assertEqual('stamp', answer.headers['server-stamp'])

    def test_answers_of_other_attempts_are_never_passed_on(self) -> None:
        """A foreign answer before and a second one after are discarded."""
        for fault in ('foreign', 'twice'):
            for _ in range(3):
                _, answer = call(self.fleet, 'booking', X_Fault=fault)
                self.assertEqual(200, answer.status)
                self.assertEqual(b'mine', answer.body)
        _, answer = call(self.fleet, 'booking')
        self.assertEqual(b'ran van on Friday', answer.body)

    def test_answer_may_end_with_its_connection(self) -> None:
        """A clean close ends an answer that has no Content-Length."""
        _, answer = call(self.fleet, 'booking', X_Fault='unframed')
        self.assertEqual(b'unframed', answer.body)

    def test_broken_stream_goes_on_once_and_in_order(self) -> None:
        """A resumable stream continues elsewhere; any other one breaks."""
        for name in ('chat-0', 'chat-1'):
            attempt, answer = call(
                self.fleet, 'stream', X_Fault=f'cut-stream@{name}'
            )
            self.assertEqual(200, answer.status)
            event_ids = [
                int(line.split()[-1])
                for line in answer.body.decode().splitlines()
                if line.startswith('id:')
            ]
            self.assertEqual([1, 2, 3, 4, 5], event_ids)
        attempt, answer = call(self.fleet, 'once-stream', X_Fault='cut-stream')
        self.assertEqual(0, answer.status)
        self.assertEqual(1, len(self.list_runs(attempt)))

    # Guards against a broken stream that looks whole without chunks.
    def test_broken_stream_to_http_1_0_ends_with_a_reset(self) -> None:
        """A whole one ends with a clean close."""
        for fault, is_whole in (('none', True), ('cut-stream', False)):
            port = self.fleet.callers_port(0)
            with gevent.socket.create_connection(('127.0.0.1', port)) as sock:
                sock.sendall(
                    (
                        'GET /once-stream/item HTTP/1.0\r\n'
                        f'Host: {gateway_fleet.HOST}\r\n'
                        f'Attempt-Id: 1-0-{fault}\r\nX-Fault: {fault}\r\n'
                        f'Authorization: Bearer {gateway_fleet.API_KEY}\r\n'
                        '\r\n'
                    ).encode()
                )
                answer = sock.recv(65_536)
                with contextlib.suppress(ConnectionResetError):
                    while data := sock.recv(65_536):
                        answer += data
                    self.assertTrue(is_whole, answer)
            self.assertIn(b' 200 ', answer)
            self.assertEqual(is_whole, b'id: 5' in answer)

    def test_deadline_at_a_silent_target_gets_504(self) -> None:
        """A call that may have run at a silent target gets 504."""
        _, answer = call(
            self.fleet, 'booking', X_Fault='silent', Deadline_Ms='700'
        )
        self.assertEqual(504, answer.status)

    # Guards against a stream that is begun just before its time is up, such
    # as that of a pipelined request, and then cut.
    def test_call_without_time_left_is_refused(self) -> None:
        """It is not sent to a target."""
        attempt, answer = call(self.fleet, 'once-stream', Deadline_Ms='20')
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.list_runs(attempt))

    def test_unknown_keys_and_routes_are_refused(self) -> None:
        """401 and 404 are given while the configuration read is recent."""
        self.assertEqual(401, call(self.fleet, 'booking', key='no')[1].status)
        self.assertEqual(404, call(self.fleet, 'nowhere')[1].status)


if __name__ == '__main__':
    unittest.main()
