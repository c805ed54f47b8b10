"""Measures duplicates and refusals of fresh calls, by way and fault."""

from collections.abc import Callable
from typing import NamedTuple

from lagoonbend_devkit._internal.experiments.claim_ways import MEMORY_ALONE
from lagoonbend_devkit._internal.experiments.claim_ways import UNGUARDED_OWNER
from lagoonbend_devkit._internal.worlds.part_types import PartTypes
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld
from lagoonbend_devkit._internal.worlds.world_core import INSTANCES
from lagoonbend_devkit._internal.worlds.world_core import WorldError

CALLS = 1_000
SPREAD_MS = 9
PERCENT = 100


class Way(NamedTuple):
    """A way to dispatch at most once.

    :param name: name in the table.
    :param types: classes of the parts.
    :param is_ticket: True if callers take a ticket first.
    """

    name: str
    types: PartTypes
    is_ticket: bool


class Result(NamedTuple):
    """One row of the table.

    :param way: name of the way.
    :param fault: name of the fault.
    :param refused_percent: fresh calls that were refused.
    :param duplicates: calls that ran twice after one repeat.
    :param messages: messages between instances for each fresh call.
    """

    way: str
    fault: str
    refused_percent: float
    duplicates: int
    messages: float


WAYS = (
    Way('memory of each instance alone', MEMORY_ALONE, False),
    Way('owner by hash, no quarantine', UNGUARDED_OWNER, False),
    Way('bare key (owner with quarantine)', PartTypes(), False),
    Way('ticket', PartTypes(), True),
)


def _cause_nothing(world: ScriptedWorld) -> None:
    """Leave the world as it is."""


def _cut_domain(world: ScriptedWorld) -> None:
    world.cut_domains.add('south')


def _restart_seat(world: ScriptedWorld) -> None:
    peer = world.fleet_list.peers[0]
    world.processes[peer.instance].is_alive = False
    world.start(peer)
    world.process(0).apply(world.plans[0])


FAULTS: dict[str, Callable[[ScriptedWorld], None]] = {
    'none': _cause_nothing,
    'cut of a domain': _cut_domain,
    'restart of one of 3 seats': _restart_seat,
}


def run_claim_experiment() -> list[Result]:
    """Return a row for each way and fault."""
    return [
        _measure(way, name, cause)
        for way in WAYS
        for name, cause in FAULTS.items()
    ]


def _measure(
    way: Way, name: str, cause: Callable[[ScriptedWorld], None]
) -> Result:
    world = ScriptedWorld(way.types)
    before = [_call(world, way, number) for number in range(CALLS)]
    cause(world)
    duplicates = sum(_repeat(world, number) for number in before)
    world.delivered = 0
    served = world.counts['served']
    for number in range(CALLS):
        _call(world, way, number)
        world.pass_time(SPREAD_MS)
    fresh_served = world.counts['served'] - served
    refused_percent = PERCENT * (CALLS - fresh_served) / CALLS
    return Result(
        way.name, name, refused_percent, duplicates, world.delivered / CALLS
    )


def _call(world: ScriptedWorld, way: Way, number: int) -> int:
    """Send a fresh call; return its number as a caller."""
    instance = number % INSTANCES
    caller = world.new_caller(home=instance if way.is_ticket else None)
    world.call(caller, instance)
    return len(world.callers) - 1


def _repeat(world: ScriptedWorld, number: int) -> bool:
    """Repeat a call through another instance; return True if it ran twice."""
    caller = world.callers[number]
    try:
        world.call(caller, (number + 1) % INSTANCES)
    except WorldError:
        world.attempts.clear()
        return True
    return False
