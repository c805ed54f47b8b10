"""Real instances on stand-ins of the users' platform: answers."""

import unittest

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

ATTEMPTS = iter(range(1_000_000))


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
    """Send one call; return its attempt and the answer."""
    attempt = f'a{next(ATTEMPTS)}'
    fields = {
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
        headers=fields,
        timeout_s=8.0,
    )
    return attempt, answer


class GatewayAnswersTest(unittest.TestCase):
    """One fleet for all; each test sends calls of its own."""

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
        """Whole answers with the target's signature."""
        for instance in (0, 1):
            for route in ('booking', 'look-up', 'stream', 'once-stream'):
                with self.subTest(route=route, instance=instance):
                    attempt, answer = call(
                        self.fleet, route, instance=instance
                    )
                    self.assertEqual(200, answer.status)
                    self.assertEqual('stamp', answer.headers['server-stamp'])
                    self.assertEqual(1, len(self.list_runs(attempt)))

    def test_target_gets_the_call_unchanged_and_its_customer(self) -> None:
        """Method, path and body as sent; no key, own headers set."""
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

    def test_non_idempotent_call_runs_at_most_once(self) -> None:
        """A failure after the send is never sent again, nor called unrun."""
        for fault in ('reset', 'truncated', 'noise', 'unsigned'):
            with self.subTest(fault=fault):
                attempt, answer = call(self.fleet, 'booking', X_Fault=fault)
                self.assertEqual(502, answer.status)
                self.assertNotIn('server-stamp', answer.headers)
                self.assertEqual(1, len(self.list_runs(attempt)))

    def test_idempotent_call_goes_to_another_target(self) -> None:
        """One bad target does not fail a read."""
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

    def test_turned_away_call_is_sent_elsewhere_or_refused(self) -> None:
        """A target that says "not run" leaves the call free to go on."""
        attempt, answer = call(
            self.fleet, 'booking', X_Fault='turned-away@desk-0'
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(['desk-1'], self.list_runs(attempt))
        attempt, answer = call(self.fleet, 'booking', X_Fault='turned-away')
        self.assertEqual(503, answer.status)
        self.assertIn('retry-after', answer.headers)
        self.assertEqual([], self.list_runs(attempt))

    def test_demand_for_another_version_harms_no_target(self) -> None:
        """Only the call that demands it is turned away."""
        attempt, answer = call(self.fleet, 'booking', Expect_Version='7')
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.list_runs(attempt))
        attempt, answer = call(self.fleet, 'booking')
        self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.list_runs(attempt)))

    def test_own_error_of_a_target_reaches_the_caller(self) -> None:
        """Status, signature and body stay as the target gave them."""
        _, answer = call(self.fleet, 'booking', X_Fault='error')
        self.assertEqual(500, answer.status)
        self.assertEqual(b'failed', answer.body)
        self.assertEqual('stamp', answer.headers['server-stamp'])

    def test_answers_of_other_attempts_are_never_passed_on(self) -> None:
        """A foreign first answer and a second one are left out."""
        for fault in ('foreign', 'twice'):
            for _ in range(3):
                _, answer = call(self.fleet, 'booking', X_Fault=fault)
                self.assertEqual(200, answer.status)
                self.assertEqual(b'mine', answer.body)
        _, answer = call(self.fleet, 'booking')
        self.assertEqual(b'ran van on Friday', answer.body)

    def test_answer_may_end_with_its_connection(self) -> None:
        """A clean close ends an answer without a length."""
        _, answer = call(self.fleet, 'booking', X_Fault='unframed')
        self.assertEqual(b'unframed', answer.body)

    def test_broken_stream_goes_on_once_and_in_order(self) -> None:
        """A resumable stream continues elsewhere; another one breaks."""
        for name in ('chat-0', 'chat-1'):
            attempt, answer = call(
                self.fleet, 'stream', X_Fault=f'cut-stream@{name}'
            )
            self.assertEqual(200, answer.status)
            pieces = [
                int(line.split()[-1])
                for line in answer.body.decode().splitlines()
                if line.startswith('id:')
            ]
            self.assertEqual([1, 2, 3, 4, 5], pieces)
        attempt, answer = call(self.fleet, 'once-stream', X_Fault='cut-stream')
        self.assertEqual(0, answer.status)
        self.assertEqual(1, len(self.list_runs(attempt)))

    def test_time_out_of_a_route_gets_its_answer(self) -> None:
        """A silent target ends in 504 for a call that may have run."""
        _, answer = call(
            self.fleet, 'booking', X_Fault='silent', Deadline_Ms='700'
        )
        self.assertEqual(504, answer.status)

    def test_unknown_keys_and_routes_are_refused(self) -> None:
        """401 and 404 are said while the facts are fresh."""
        self.assertEqual(401, call(self.fleet, 'booking', key='no')[1].status)
        self.assertEqual(404, call(self.fleet, 'nowhere')[1].status)


if __name__ == '__main__':
    unittest.main()
