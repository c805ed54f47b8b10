"""Answers of ``lagoonbend explain-route``.

Guards against an answer that differs from what happens to the next call,
against a question that takes a slot, units of a limit or a turn, and against
wrong input that shows a traceback or is taken for something else.
"""

import enum
import random
from typing import Any
import unittest
from unittest import mock

from cleo.testers.command_tester import CommandTester
import gevent.socket
import msgspec

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ColdTargets
from lagoonbend.facts import ColdTolerance
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Evacuations
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimit
from lagoonbend.facts import NamedLimits
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import CustomerShares
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import PromptBlock
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_cli._internal.commands.explain_route import ExplainRouteCommand
from lagoonbend_cli._internal.explain.route_text import format_explanation
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.route_explainer import RouteExplainer
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.gateway.text_server import TextServer
from lagoonbend_entry._internal.platform import rules_codec
from lagoonbend_entry.explanation import RouteExplanation
from lagoonbend_entry.explanation import RouteQuestion

ADDRESS = '10.0.0.1:1'
EVACUATIONS = 'evacuate/'
PROFILE = ServiceProfile(
    'chat',
    is_engine=True,
    memory_tokens=4_000,
    cold_start_ms=2_000,
    cold_rate_per_s=5.0,
)
ROUTE = {
    'name': 'talk',
    'hostname': 'calls.example',
    'prefix': '/talk/',
    'route-kind': 'streaming',
    'target-latency-ms': 300,
    'timeout-ms': 3_000,
    'max-attempts': 2,
    'priority': 1,
    'service': 'chat',
}
SERVICES = [{'service': 'chat', 'weight': 3}, {'service': 'desk', 'weight': 1}]
RULES = {
    'version': 4,
    'routes': [
        ROUTE,
        {**ROUTE, 'prefix': '/mixed/', 'weighted-services': SERVICES},
    ],
    'services': [{'name': 'chat', 'engine': {}}, {'name': 'desk'}],
    'tenants': [
        {'name': 'a', 'api-keys': ['k'], 'rate-per-s': 50, 'burst': 50}
    ],
    'limits': {
        'max-header-bytes': 8_192,
        'max-body-bytes': 100_000,
        'header-timeout-ms': 700,
        'idle-timeout-ms': 5_000,
    },
}


def describe(value: object, seen: tuple[int, ...] = ()) -> object:
    """Return the whole state of an object in a form that can be compared."""
    if id(value) in seen:
        return 'cycle'
    seen = (*seen, id(value))
    if isinstance(value, dict):
        return [(repr(key), describe(v, seen)) for key, v in value.items()]
    if isinstance(value, list | tuple | set | frozenset):
        return [describe(item, seen) for item in value]
    if isinstance(value, enum.Enum) or not hasattr(value, '__dict__'):
        return repr(value)
    return (type(value).__name__, describe(vars(value), seen))


class SchedulerWorld:
    """A scheduler with targets of all states, under random calls.

    :param seed: seed of the random numbers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = PausedClock(100_000)
        self.cold = ColdTargets(self.clock, ColdTolerance(1.5, 5.0))
        self.named = NamedLimits(self.clock)
        self.limits = SharedLimits(LimitTolerance(0.25, 0.0, 8.0))
        self.scheduler = PoolScheduler(
            PROFILE,
            self.clock,
            self.limits,
            Invariants(strict=True),
            self.named,
            self.cold,
            CustomerShares(),
        )
        self.rules = [CustomerRule(f'c{n}', None, 40.0, 10.0) for n in 'ab']
        self.held: list[tuple[str, str]] = []
        self.targets = [
            ListedTarget(
                f't{n}', 'chat', '10.0.1.1', n, f'd{n % 2}', 3, False, None, n
            )
            for n in range(6)
        ]
        self.take(self.scheduler.set_targets(PROFILE, self.targets))
        self.count = 0

    def take(self, decisions: Any) -> list[SlotDecision]:
        """Record the slots that were granted; return the decisions."""
        taken = list(decisions)
        self.held += [(d.call, d.target) for d in taken if d.target]
        return taken

    def build(self) -> tuple[SlotRequest, CustomerRule]:
        """Return the next call and the limit of its customer."""
        self.count += 1
        rng = self.rng
        rule = rng.choice(self.rules)
        request = SlotRequest(
            call=f'call{self.count}',
            instance='i',
            failure_domain=f'd{rng.randrange(2)}',
            pool='chat',
            rank=rng.randrange(3),
            route_rank=rng.randrange(3),
            customer=rule.name,
            cost_units=1.0,
            waited_ms=0,
            objective_ms=rng.choice((300, 900)),
            deadline_ms=3_000,
            prompt=tuple(
                PromptBlock(f'b{rng.randrange(8)}', rng.choice((50, 700)))
                for _ in range(2)
            ),
            output_tokens=rng.choice((10, 400)),
            body_bytes=2_000,
            excluded=('t5',) if rng.random() < 0.1 else (),
        )
        return request, rule

    def disturb(self) -> None:
        """Advance the clock, end a call, or change the state of a target."""
        rng = self.rng
        self.clock.advance(rng.choice((1, 20, 150)))
        target = rng.choice(self.targets)
        if self.held and rng.random() < 0.6:
            call, name = self.held.pop(rng.randrange(len(self.held)))
            outcome = rng.choice((SlotOutcome.ANSWERED, *SlotOutcome))
            self.take(
                self.scheduler.release('i', call, name, outcome, 150, 'd0')
            )
        if rng.random() < 0.05:
            self.cold.record(
                target._replace(cold_ms=1_500), is_known=True, is_first=False
            )
        if rng.random() < 0.05:
            self.named.record(
                NamedLimit(target, 4.0, self.clock.now_ms(), 2.0)
            )
        # Calls that wait and can run now go first.
        self.take(self.scheduler.expire())


class SchedulerExplanationTest(unittest.TestCase):
    """Questions to a scheduler between real calls."""

    def test_answer_is_what_the_next_call_gets(self) -> None:
        """Target and denial are the same, and asking changes nothing."""
        granted_count = denied_count = 0
        reasons = set()
        for seed in range(10):
            world = SchedulerWorld(seed)
            for _ in range(120):
                world.disturb()
                request, rule = world.build()
                before = describe((world.scheduler, world.limits))
                explained = world.scheduler.explain(request, rule)
                self.assertEqual(
                    before, describe((world.scheduler, world.limits))
                )
                decisions = world.take(world.scheduler.submit(request, rule))
                own = [d for d in decisions if d.call == request.call]
                target, denial, retry_after_ms = '', None, 0
                if own:
                    target, denial = own[0].target, own[0].denial
                    retry_after_ms = own[0].retry_after_ms
                self.assertEqual(
                    (target, denial, retry_after_ms),
                    (
                        explained.chosen,
                        explained.denial,
                        explained.retry_after_ms,
                    ),
                )
                granted_count += bool(target)
                denied_count += denial is not None
                self.check_terms(explained.chosen, explained.targets)
                reasons |= {r for t in explained.targets for r in t.reasons}
        self.assertGreater(granted_count, 300)
        self.assertGreater(denied_count, 100)
        self.assertGreaterEqual(len(reasons), 7, reasons)

    def check_terms(self, chosen: str, targets: Any) -> None:
        """The chosen target is the cheapest of those that aren't out."""
        costs = {t.target: t.cost.total_ms for t in targets if not t.reasons}
        if chosen:
            self.assertAlmostEqual(min(costs.values()), costs[chosen])


class RouteExplainerTest(unittest.TestCase):
    """Questions to an instance without a network."""

    def setUp(self) -> None:
        """Start an instance that decides on its own pool."""
        self.clock = PausedClock(100_000)
        self.fleet = Fleet(ADDRESS, 'd0', [], self.clock)
        self.facts = FactsCache(
            self.clock,
            rules_codec.decode_rules,
            self.decode_target,
            'rules',
            Evacuations(EVACUATIONS),
        )
        self.items = [
            PublishedItem('rules', 1, msgspec.json.encode(RULES), 1),
            *(
                PublishedItem(f'servers/t{n}', 2, b'd%d' % n, 1)
                for n in range(3)
            ),
        ]
        self.facts.apply_listing(self.items, 3, self.clock.now_ms(), 1)
        self.coordinator = Coordinator(
            self.fleet,
            self.facts,
            self.clock,
            Invariants(strict=True),
            'start',
            LimitTolerance(),
        )
        self.closed = ClosedTargets(TargetPauses(self.clock, random.Random(1)))
        self.explainer = RouteExplainer(
            self.facts,
            self.coordinator,
            self.closed,
            self.clock,
            1_500,
            (ADDRESS, 'd0'),
            RANK_ORDERS['route_first'],
        )

    @staticmethod
    def decode_target(item: PublishedItem) -> ListedTarget | None:
        """Return a target whose item holds its domain."""
        name = item.key.removeprefix('servers/')
        if item.value is None or name == item.key:
            return None
        domain, _, state = item.value.decode().partition(' ')
        return ListedTarget(
            name, 'chat', '10.0.1.1', 80, domain, 2, state == 'leaves'
        )

    def ask(self, path: str = '/talk/x', customer: str = 'a') -> Any:
        """Return the answer on a call, whose prompt has one block."""
        question = RouteQuestion.parse(
            'Calls.example', path, customer, ['p:600'], '50', '0'
        )
        state = (
            self.coordinator.pools._sequence,
            dict(self.coordinator.pools._plans),
            describe(self.coordinator.pools._wait_times),
            describe(self.coordinator.deciders._last_deciders),
            describe(self.coordinator.deciders._cached_deciders),
            describe(self.coordinator.pool_schedulers._schedulers),
            describe(self.coordinator.pool_schedulers.limits),
        )
        status, body = self.explainer.answer(question.encode())
        self.assertEqual(200, status)
        self.assertEqual(
            state,
            (
                self.coordinator.pools._sequence,
                dict(self.coordinator.pools._plans),
                describe(self.coordinator.pools._wait_times),
                describe(self.coordinator.deciders._last_deciders),
                describe(self.coordinator.deciders._cached_deciders),
                describe(self.coordinator.pool_schedulers._schedulers),
                describe(self.coordinator.pool_schedulers.limits),
            ),
        )
        answer = msgspec.json.decode(body, type=RouteExplanation)
        self.text = '\n'.join(format_explanation(question, answer))
        return answer

    def create_scheduler(self) -> None:
        """Let the instance decide on the pool, as the first call does."""
        self.coordinator.pool_schedulers.get_or_create(Pool('chat').name)

    def test_decider_names_its_choice_and_all_terms(self) -> None:
        """The answer has each target, with the local one chosen."""
        self.ask()
        self.assertIn('no scheduler yet', self.text)
        self.create_scheduler()
        answer = self.ask()
        service = answer['services'][0]
        self.assertEqual('t0', service['scheduler']['chosen'])
        self.assertTrue(service['is_decided_here'])
        self.assertEqual('a', answer['customer']['name'])
        costs = {t['target']: t['cost'] for t in service['targets']}
        self.assertEqual(0, costs['t0']['other_domain_ms'])
        self.assertEqual(10, costs['t1']['other_domain_ms'])
        self.assertIn('* t0 in d0, 0/2 slots', self.text)

    def test_targets_that_are_out_have_their_reason(self) -> None:
        """Evacuated, leaving by the list or by an answer, and paused."""
        self.create_scheduler()
        target = self.facts.target_directory.find('t0')
        assert target is not None
        self.closed.record_leaving(target)
        evacuation = PublishedItem(f'{EVACUATIONS}d1', 4, b'{}', 1)
        leaving = PublishedItem('servers/t2', 5, b'd2 leaves', 1)
        self.facts.apply_changes(
            [evacuation, leaving], 5, self.clock.now_ms(), 1
        )
        answer = self.ask()
        self.assertEqual(['d1'], answer['evacuated_domains'])
        reasons = {
            t['target']: t['reasons'] for t in answer['services'][0]['targets']
        }
        self.assertEqual(
            {'t0': ['leaving'], 't1': ['evacuated'], 't2': ['leaving']},
            reasons,
        )
        self.assertEqual(
            'no_target',
            answer['services'][0]['scheduler']['refusal']['reason'],
        )

    def test_weights_are_told_where_the_call_decides(self) -> None:
        """The answer is on each service of the route."""
        services = self.ask('/mixed/x')['services']
        weights = [(s['service'], s['weight']) for s in services]
        self.assertEqual([('chat', 3.0), ('desk', 1.0)], weights)
        self.assertIn('depends on the identity of the call', self.text)

    def test_evacuated_service_pauses(self) -> None:
        """The answer is the refusal that callers get."""
        items = [
            PublishedItem(f'{EVACUATIONS}d{n}', 4, b'{}', 1) for n in range(3)
        ]
        self.facts.apply_changes(items, 4, self.clock.now_ms(), 1)
        refusal = self.ask()['services'][0]['refusal']
        self.assertEqual(
            (503, 'targets_paused', 1_000, 250), tuple(refusal.values())
        )

    def test_other_decider_is_named(self) -> None:
        """The operator is sent to the instance that knows."""
        with mock.patch.object(
            self.fleet, 'find_decider', return_value='10.0.0.2:1'
        ):
            answer = self.ask()
        self.assertIsNone(answer['services'][0]['scheduler'])
        self.assertIn('10.0.0.2:1; ask that instance', self.text)

    def test_calls_that_are_not_admitted(self) -> None:
        """Unknown routes and customers, and facts too old to be sure."""
        for path, customer, age_ms, reason in (
            ('/other/', 'a', 0, 'no_route'),
            ('/talk/x', '', 0, 'no_customer'),
            ('/talk/x', 'b', 0, 'no_customer'),
            ('/talk/x', 'a', 2_000, 'facts_too_old'),
            ('/other/', 'a', 2_000, 'facts_too_old'),
        ):
            with self.subTest(path=path, customer=customer, age_ms=age_ms):
                self.clock.advance(age_ms)
                answer = self.ask(path, customer)
                self.assertEqual(reason, answer['refusal']['reason'])
                self.assertIn(reason, self.text)

    def test_endpoint_answers_its_paths_only(self) -> None:
        """Other paths, other methods and wrong questions get an error."""
        server = TextServer(b'/metrics', lambda: (200, b'text'))
        server.answers_by_path[b'/explain-route'] = self.explainer.answer
        for line, status in (
            ('GET /metrics', 200),
            ('GET /explain-route?host=calls.example&path=/talk/x', 200),
            ('GET /explain-route?host=calls.example&path=/x&part=a', 400),
            ('GET /explain-route', 400),
            ('POST /explain-route?host=h&path=/', 404),
            ('GET /explain', 404),
            ('GET ' + 'x' * 20_000, 414),
        ):
            own, other = gevent.socket.socketpair()
            reader = gevent.spawn(server.serve, other, ('', 0))
            own.sendall(f'{line} HTTP/1.1\r\n\r\n'.encode())
            head = own.recv(100).decode()
            reader.join()
            own.close()
            self.assertTrue(head.startswith(f'HTTP/1.1 {status} '), line)


class WrongInputTest(unittest.TestCase):
    """Arguments of the command that can't be used."""

    def test_wrong_input_is_one_line_and_exit_code_2(self) -> None:
        """No instance is asked."""
        for arguments, expected in (
            ('localhost h /p', 'expected ip:port'),
            ('127.0.0.1:99999 h /p', 'expected a TCP port'),
            ('127.0.0.1:9 "" /p', 'missing host'),
            ('127.0.0.1:9 h p', 'expected a leading slash'),
            ('127.0.0.1:9 h /p a', 'expected ID:TOKENS'),
            ('127.0.0.1:9 h /p a:-1', 'expected ID:TOKENS'),
            ('127.0.0.1:9 h /p :1', 'expected ID:TOKENS'),
            ('127.0.0.1:9 h /p --output-tokens x', 'expected a whole number'),
            ('127.0.0.1:9 h /p --body-bytes 1.5', 'expected a whole number'),
        ):
            with self.subTest(arguments=arguments):
                tester = CommandTester(ExplainRouteCommand())
                self.assertEqual(2, tester.execute(arguments))
                error = tester.io.fetch_error()
                self.assertEqual(1, len(error.strip().splitlines()), error)
                self.assertIn(expected, error)

    def test_question_survives_its_way(self) -> None:
        """Separators of a URL in a name or block don't change it."""
        question = RouteQuestion.parse(
            'h', '/p&q=1', 'a b&c', ['x=&+:3', 'y:0'], '7', '8'
        )
        self.assertEqual(question, RouteQuestion.decode(question.encode()))


if __name__ == '__main__':
    unittest.main()
