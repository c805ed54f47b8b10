"""The fault matrix of a keyed call: faults and pairs of them at each step."""

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

SERVING = 3
STEPS: dict[str, type | None] = {
    'accept': None,
    'nonce': FetchNonce,
    'claim': SendClaim,
    'admit': Admit,
    'connect': Connect,
    'write': SendRequest,
    'answer': None,
}


class Scene:
    """One cell: a world, a caller and the attempt that is disturbed.

    :param types: classes of the parts.
    :param is_ticket: True if the key is a ticket.
    """

    def __init__(self, types: ComponentTypes, is_ticket: bool) -> None:
        self.world = ScriptedWorld(types)
        home = 0 if is_ticket else None
        self.caller: VirtualCaller = self.world.new_caller(home=home)
        self.holder = home
        if home is None:
            self.holder = self.world.find_owner_number(self.caller.key)
        self.arrival = self.world.arrive(self.caller, SERVING)
        self.attempt: VirtualAttempt | None = None

    def move_to(self, step: str) -> None:
        """Advance the attempt to a step, if it gets there."""
        if step == 'accept':
            return
        if self.attempt is None and self.arrival in self.world.arrivals:
            if not self.arrival.process.is_running:
                return
            self.attempt = self.world.begin(self.arrival)
        if self.attempt is None or not self.attempt.process.is_running:
            return
        kind = STEPS[step]
        if kind is None:
            self.world.finish(self.attempt)
        else:
            self.world.run_to(self.attempt, kind)


Fault = Callable[[Scene], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def decorate(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return decorate


@fault('kill of the serving instance')
def _kill_serving(scene: Scene) -> None:
    _kill(scene, SERVING)


@fault('kill of the holder')
def _kill_holder(scene: Scene) -> None:
    _kill(scene, scene.holder or 0)


@fault('restart of the holder, empty')
def _restart_holder(scene: Scene) -> None:
    number = scene.holder or 0
    _kill(scene, number)
    _restart(scene, number)


@fault('pause of the serving instance')
def _pause_serving(scene: Scene) -> None:
    scene.world.process(SERVING).is_paused = True


@fault('pause of the holder')
def _pause_holder(scene: Scene) -> None:
    scene.world.process(scene.holder or 0).is_paused = True


@fault('cut between domains')
def _cut(scene: Scene) -> None:
    scene.world.partitioned_domains.add('south')


@fault('messages lost')
def _lose(scene: Scene) -> None:
    scene.world.messages.clear()


@fault('messages held up')
def _hold(scene: Scene) -> None:
    scene.world.holds_messages = True


@fault('answer of the target lost')
def _lose_answer(scene: Scene) -> None:
    scene.world.fixed_draw = LOST_ANSWER_DRAW


@fault('repeat through another instance')
def _repeat(scene: Scene) -> None:
    for number in range(SERVING):
        process = scene.world.process(number)
        if process.is_running:
            arrival = scene.world.arrive(scene.caller, number)
            attempt = scene.world.begin(arrival)
            if attempt is not None:
                scene.world.finish(attempt)


@fault('most of the repeat window passes')
def _wait(scene: Scene) -> None:
    window_ms = scene.world.times.repeat_window_ms
    now_ms = scene.world.clock.now_ms()
    left_ms = scene.caller.first_sent_ms + window_ms - now_ms
    scene.world.pass_time(max(0, left_ms - 1))


class Cell(NamedTuple):
    """Two faults, each at a step, for one kind of key."""

    is_ticket: bool
    first: str
    first_step: str
    second: str
    second_step: str


def list_cells() -> Iterator[Cell]:
    """Yield all cells; the second fault never comes before the first."""
    names = list(STEPS)
    for is_ticket in (False, True):
        for one, two in itertools.product(FAULTS, repeat=2):
            for i, j in itertools.combinations_with_replacement(
                range(len(names)), 2
            ):
                yield Cell(is_ticket, one, names[i], two, names[j])


def run_cell(cell: Cell, types: ComponentTypes) -> ScriptedWorld:
    """Run a cell to its end; the world checks every promise.

    After the faults, the caller repeats through every instance while it
    may, time passes, and all that stood still goes on.
    """
    scene = Scene(types, cell.is_ticket)
    scene.move_to(cell.first_step)
    FAULTS[cell.first](scene)
    scene.move_to(cell.second_step)
    FAULTS[cell.second](scene)
    _repeat(scene)
    _wait(scene)
    _repeat(scene)
    world = scene.world
    world.wait_out_quarantine()
    _wake_all(scene)
    scene.move_to('nonce')
    for attempt in list(world.attempts):
        world.finish(attempt)
    world.deliver_all()
    if cell.is_ticket:
        _repeat(scene)
    return world


def _wake_all(scene: Scene) -> None:
    world = scene.world
    world.fixed_draw = SUCCESS_DRAW
    world.holds_messages = False
    world.partitioned_domains.clear()
    for process in world.processes.values():
        process.is_paused = False


def _kill(scene: Scene, number: int) -> None:
    world = scene.world
    process = world.process(number)
    process.is_alive = False
    process.is_paused = False
    world.attempts = [a for a in world.attempts if a.process != process]
    world.arrivals = [a for a in world.arrivals if a.process != process]
    world.messages = [m for m in world.messages if m.sender != process]


def _restart(scene: Scene, number: int) -> None:
    world = scene.world
    name = f'instance-{number}'
    peer = next(p for p in world.fleet_list.peers if p.instance == name)
    world.start(peer)
    world.process(number).apply(world.plans[0])
