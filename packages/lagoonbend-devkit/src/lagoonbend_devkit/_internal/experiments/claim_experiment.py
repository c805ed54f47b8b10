"""Measures duplicate executions and refused calls under faults.

Compares strategies that dispatch a keyed call at most once, on a simulated
fleet.
"""

from collections.abc import Callable
from typing import NamedTuple

from lagoonbend_devkit._internal.experiments.strategies import LOCAL_MEMORY
from lagoonbend_devkit._internal.experiments.strategies import NO_QUARANTINE
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld
from lagoonbend_devkit._internal.worlds.world_core import INSTANCE_COUNT
from lagoonbend_devkit._internal.worlds.world_core import ViolationError

CALL_COUNT = 1_000
CALL_INTERVAL_MS = 9
PERCENT = 100


class Strategy(NamedTuple):
    """A strategy to dispatch a keyed call at most once.

    :param name: name in the table.
    :param component_types: classes that implement it.
    :param is_ticket: True if callers take a ticket before they call.
    """

    name: str
    component_types: ComponentTypes
    is_ticket: bool


class Result(NamedTuple):
    """One row of the table.

    :param way: name of the strategy.
    :param fault: name of the fault.
    :param refused_percent: new calls that were refused after the fault.
    :param duplicates: calls sent before the fault that were executed twice
        when they were repeated once after it.
    :param messages: messages between instances for each new call.
    """

    way: str
    fault: str
    refused_percent: float
    duplicates: int
    messages: float


STRATEGIES = (
    Strategy('memory of each instance alone', LOCAL_MEMORY, False),
    Strategy('owner by hash, no quarantine', NO_QUARANTINE, False),
    Strategy('bare key (owner with quarantine)', ComponentTypes(), False),
    Strategy('ticket', ComponentTypes(), True),
)


def _inject_nothing(world: ScriptedWorld) -> None:
    """Inject no fault."""


def _cut_domain(world: ScriptedWorld) -> None:
    world.partitioned_domains.add('south')


def _restart_seat(world: ScriptedWorld) -> None:
    peer = world.fleet_list.peers[0]
    world.processes[peer.instance].is_alive = False
    world.start(peer)
    world.process(0).apply(world.plans[0])


FAULTS: dict[str, Callable[[ScriptedWorld], None]] = {
    'none': _inject_nothing,
    'cut of a domain': _cut_domain,
    'restart of one of 3 seats': _restart_seat,
}


def run_claim_experiment() -> list[Result]:
    """Return a row for each strategy and fault."""
    return [
        _measure(strategy, name, inject_fault)
        for strategy in STRATEGIES
        for name, inject_fault in FAULTS.items()
    ]


def _measure(
    strategy: Strategy,
    name: str,
    inject_fault: Callable[[ScriptedWorld], None],
) -> Result:
    world = ScriptedWorld(strategy.component_types)
    caller_indexes = [
        _call(world, strategy, number) for number in range(CALL_COUNT)
    ]
    inject_fault(world)
    duplicates = sum(_repeat(world, number) for number in caller_indexes)
    world.delivered_count = 0
    served_before = world.counts['served']
    for number in range(CALL_COUNT):
        _call(world, strategy, number)
        world.pass_time(CALL_INTERVAL_MS)
    fresh_served = world.counts['served'] - served_before
    refused_percent = PERCENT * (CALL_COUNT - fresh_served) / CALL_COUNT
    return Result(
        strategy.name,
        name,
        refused_percent,
        duplicates,
        world.delivered_count / CALL_COUNT,
    )


def _call(world: ScriptedWorld, strategy: Strategy, number: int) -> int:
    """Send a new call; return the index of its caller."""
    instance = number % INSTANCE_COUNT
    caller = world.new_caller(home=instance if strategy.is_ticket else None)
    world.call(caller, instance)
    return len(world.callers) - 1


def _repeat(world: ScriptedWorld, number: int) -> bool:
    """Repeat a call at another instance; return True if it ran twice."""
    caller = world.callers[number]
    try:
        world.call(caller, (number + 1) % INSTANCE_COUNT)
    except ViolationError:
        world.attempts.clear()
        return True
    return False
