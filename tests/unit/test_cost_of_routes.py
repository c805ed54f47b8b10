"""Cost of a call when the configuration has many routes."""

from collections.abc import Callable
import functools
import timeit
import unittest

from lagoonbend.facts import CallerBounds
from lagoonbend.facts import Route
from lagoonbend.facts import RuleSet
from lagoonbend.facts import WeightedService

FEW_ROUTES = 50
MANY_ROUTES = 10_000
MAX_RATIO = 5
"""Tolerates what a timer and a larger table cost; a search of all routes takes
200 times as long."""
CALLS = 200
REPEATS = 7


def build_route(prefix: str, timeout_ms: int = 4_000) -> Route:
    """Return a route of a prefix."""
    return Route(
        name=prefix,
        host='h',
        path_prefix=prefix,
        services=(WeightedService('s', 1.0),),
        is_idempotent=True,
        is_streaming=False,
        is_resumable=False,
        timeout_ms=timeout_ms,
        objective_ms=500,
        gap_objective_ms=0,
        attempt_limit=1,
        rank=0,
        is_public=False,
    )


def build_rules(*routes: Route) -> RuleSet:
    """Return a configuration with routes of one host."""
    ordered = sorted(routes, key=lambda route: -len(route.path_prefix))
    bounds = CallerBounds(1, 1, 1, 1)
    return RuleSet(1, {'h': tuple(ordered)}, {}, {}, {}, False, bounds)


QUESTIONS: dict[str, Callable[[RuleSet], object]] = {
    'last route': lambda rules: rules.find_route('h', '/1/x'),
    'no route': lambda rules: rules.find_route('h', '/none/x'),
    'timeout': lambda rules: rules.longest_timeout_ms,
}


class CostOfRoutesTest(unittest.TestCase):
    """What each call asks of the configuration."""

    # Guards against instances that slow down as routes are added.
    def test_cost_of_a_call_is_flat(self) -> None:
        """The last route of many, none, and the longest timeout."""
        few, many = (
            build_rules(*(build_route(f'/{n:x}/') for n in range(count)))
            for count in (FEW_ROUTES, MANY_ROUTES)
        )
        for name, ask in QUESTIONS.items():
            with self.subTest(name=name):
                few_s, many_s = (
                    min(
                        timeit.repeat(
                            functools.partial(ask, rules),
                            number=CALLS,
                            repeat=REPEATS,
                        )
                    )
                    for rules in (few, many)
                )
                self.assertLess(many_s, MAX_RATIO * few_s)

    def test_longest_prefix_is_found(self) -> None:
        """Of the same prefix, the first route; any text may be one."""
        routes = [
            build_route(prefix, number)
            for number, prefix in enumerate(
                ('/', '/a/', '/a/b/', '/a/', '/a/bc', '')
            )
        ]
        rules = build_rules(*routes)
        for path, number in (
            ('/a/b/c', 2),
            ('/a/bcd', 4),
            ('/a/x', 1),
            ('/a', 0),
            ('x', 5),
        ):
            with self.subTest(path=path):
                self.assertEqual(routes[number], rules.find_route('h', path))
        self.assertIsNone(rules.find_route('other', '/a/'))
        self.assertIsNone(
            build_rules(build_route('/a/')).find_route('h', '/a')
        )
        self.assertEqual(5, rules.longest_timeout_ms)
        self.assertEqual(0, build_rules().longest_timeout_ms)


if __name__ == '__main__':
    unittest.main()
