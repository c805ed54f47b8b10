"""Fault matrix of a call with a key: pairs of faults at each pair of steps.

Every cell runs one call in a simulated fleet, injects two faults and then
repeats the call through the other instances. The simulation raises an error
if the request runs more than once, or if an answer or a refusal says wrongly
whether it has run.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import NamedTuple

from lagoonbend.attempts import Admit
from lagoonbend.attempts import Connect
from lagoonbend.attempts import FetchNonce
from lagoonbend.attempts import SendClaim
from lagoonbend.attempts import SendRequest
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.scripted_world import LOST_ANSWER_DRAW
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld
from lagoonbend_devkit._internal.worlds.scripted_world import SUCCESS_DRAW
from lagoonbend_devkit._internal.worlds.virtual_attempt import VirtualAttempt
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller

HANDLING_INSTANCE_NUMBER = 3
STEPS: dict[str, type | None] = {
    'accept': None,
    'nonce': FetchNonce,
    'claim': SendClaim,
    'admit': Admit,
    'connect': Connect,
    'write': SendRequest,
    'answer': None,
}


class Scenario:
    """A simulated fleet and the attempt that faults are injected into.

    The holder is the instance that records claims of the key: the home
    (issuer) of a ticket, or the owner of a bare key, which the caller chose.

    :param types: classes that the simulation is built from.
    :param is_ticket: True if the key is a ticket, False for a bare key.
    """

    def __init__(self, types: ComponentTypes, is_ticket: bool) -> None:
        self.world = ScriptedWorld(types)
        home = 0 if is_ticket else None
        self.caller: VirtualCaller = self.world.new_caller(home=home)
        self.holder_number = home
        if home is None:
            self.holder_number = self.world.find_owner_number(self.caller.key)
        self.arrival = self.world.arrive(self.caller, HANDLING_INSTANCE_NUMBER)
        self.attempt: VirtualAttempt | None = None

    def advance_to(self, step: str) -> None:
        """Advance the attempt to ``step``, if it gets that far."""
        if step == 'accept':
            return
        if self.attempt is None and self.arrival in self.world.arrivals:
            if not self.arrival.process.is_running:
                return
            self.attempt = self.world.begin(self.arrival)
        if self.attempt is None or not self.attempt.process.is_running:
            return
        step_type = STEPS[step]
        if step_type is None:
            self.world.finish(self.attempt)
        else:
            self.world.run_to(self.attempt, step_type)


Fault = Callable[[Scenario], None]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a function that injects a fault under its name."""

    def decorate(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return decorate


@register_fault('kill of the serving instance')
def _kill_handling_instance(scenario: Scenario) -> None:
    _kill(scenario, HANDLING_INSTANCE_NUMBER)


@register_fault('kill of the holder')
def _kill_holder(scenario: Scenario) -> None:
    _kill(scenario, scenario.holder_number or 0)


@register_fault('restart of the holder, empty')
def _restart_holder(scenario: Scenario) -> None:
    number = scenario.holder_number or 0
    _kill(scenario, number)
    _restart(scenario, number)


@register_fault('pause of the serving instance')
def _pause_handling_instance(scenario: Scenario) -> None:
    scenario.world.process(HANDLING_INSTANCE_NUMBER).is_paused = True


@register_fault('pause of the holder')
def _pause_holder(scenario: Scenario) -> None:
    scenario.world.process(scenario.holder_number or 0).is_paused = True


@register_fault('cut between domains')
def _cut_domains(scenario: Scenario) -> None:
    scenario.world.partitioned_domains.add('south')


@register_fault('messages lost')
def _drop_messages(scenario: Scenario) -> None:
    scenario.world.messages.clear()


@register_fault('messages held up')
def _delay_messages(scenario: Scenario) -> None:
    scenario.world.delays_messages = True


@register_fault('answer of the target lost')
def _lose_target_answer(scenario: Scenario) -> None:
    scenario.world.fixed_draw = LOST_ANSWER_DRAW


@register_fault('repeat through another instance')
def _repeat_through_others(scenario: Scenario) -> None:
    for number in range(HANDLING_INSTANCE_NUMBER):
        process = scenario.world.process(number)
        if process.is_running:
            arrival = scenario.world.arrive(scenario.caller, number)
            attempt = scenario.world.begin(arrival)
            if attempt is not None:
                scenario.world.finish(attempt)


@register_fault('most of the repeat window passes')
def _pass_repeat_window(scenario: Scenario) -> None:
    window_ms = scenario.world.times.repeat_window_ms
    now_ms = scenario.world.clock.now_ms()
    left_ms = scenario.caller.first_sent_ms + window_ms - now_ms
    scenario.world.pass_time(max(0, left_ms - 1))


class Cell(NamedTuple):
    """Two faults, the step at which each is injected, and the kind of key."""

    is_ticket: bool
    first: str
    first_step: str
    second: str
    second_step: str


def list_cells() -> Iterator[Cell]:
    """Yield all cells; the second fault never comes at an earlier step."""
    steps = list(STEPS)
    for is_ticket in (False, True):
        for first, second in itertools.product(FAULTS, repeat=2):
            for i, j in itertools.combinations_with_replacement(
                range(len(steps)), 2
            ):
                yield Cell(is_ticket, first, steps[i], second, steps[j])


def run_cell(cell: Cell, types: ComponentTypes) -> ScriptedWorld:
    """Run a cell to its end and return the simulation, which checks it.

    After the faults, the caller repeats the request through the other
    instances until the repeat window is nearly over. Then the quarantine of
    restarted instances passes, the faults are cleared, and paused instances
    and pending attempts go on.
    """
    scenario = Scenario(types, cell.is_ticket)
    scenario.advance_to(cell.first_step)
    FAULTS[cell.first](scenario)
    scenario.advance_to(cell.second_step)
    FAULTS[cell.second](scenario)
    _repeat_through_others(scenario)
    _pass_repeat_window(scenario)
    _repeat_through_others(scenario)
    world = scenario.world
    world.wait_out_quarantine()
    _clear_faults(scenario)
    # Reads the request now if its instance was paused until here.
    scenario.advance_to('nonce')
    for attempt in list(world.attempts):
        world.finish(attempt)
    world.deliver_all()
    if cell.is_ticket:
        _repeat_through_others(scenario)
    return world


def _clear_faults(scenario: Scenario) -> None:
    world = scenario.world
    world.fixed_draw = SUCCESS_DRAW
    world.delays_messages = False
    world.partitioned_domains.clear()
    for process in world.processes.values():
        process.is_paused = False


def _kill(scenario: Scenario, number: int) -> None:
    world = scenario.world
    process = world.process(number)
    process.is_alive = False
    process.is_paused = False
    world.attempts = [a for a in world.attempts if a.process != process]
    world.arrivals = [a for a in world.arrivals if a.process != process]
    world.messages = [m for m in world.messages if m.sender != process]


def _restart(scenario: Scenario, number: int) -> None:
    world = scenario.world
    name = f'instance-{number}'
    peer = next(p for p in world.fleet_list.peers if p.instance == name)
    world.start(peer)
    world.process(number).apply(world.plans[0])
