"""Scenarios in which a key could run twice, and the rules that prevent it.

Messages are delayed, instances pause or restart, and keys move to new owners.
All scenarios but one are also run without their rule and must fail then. The
last tests check that a call that did not run is reported as such, or leaves
its key usable.
"""

import unittest

from lagoonbend.attempts import FetchNonce
from lagoonbend.attempts import ReleaseClaim
from lagoonbend.attempts import SendClaim
from lagoonbend.exceptions import CallerGoneError
from lagoonbend.models import RefusalCode
from lagoonbend.models import SeatPlan
from lagoonbend.models import Verdict
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld
from lagoonbend_devkit.worlds import ClaimWorld
from lagoonbend_devkit.worlds import ComponentTypes
from lagoonbend_devkit.worlds import ViolationError
from tests.lib.broken_claims import BROKEN_VARIANTS

REAL = ComponentTypes()
SEEDS = range(24)
STEPS = 5_000
REPLY_COUNT = 105
"""Replies that arrive late. All but the last few take 10 s to arrive, longer
than the quarantine of the former owner after its restart (9.6 s)."""
REPLY_INTERVAL_MS = 100
"""Time between two questions to the former owner, and between its replies."""
CAUGHT_BY_RANDOM_RUNS = (
    'memory of each instance alone',
    'no quarantine after a start',
    'ownership moves unconfirmed',
    'ticket of an earlier incarnation',
    'claim given back after the write',
)


class RandomWorldTest(unittest.TestCase):
    """Seeded random orders of events."""

    def test_no_seed_breaks_a_promise(self) -> None:
        """The real components violate no guarantee and serve calls."""
        served = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = ClaimWorld(seed)
                world.run(STEPS)
                served += world.counts['served']
        self.assertGreater(served, len(SEEDS))

    def test_broken_variants_are_caught(self) -> None:
        """Each of these variants fails with at least one of the seeds."""
        for name in CAUGHT_BY_RANDOM_RUNS:
            with self.subTest(variant=name):
                caught = any(
                    _fails(seed, BROKEN_VARIANTS[name]) for seed in SEEDS
                )
                self.assertTrue(caught)


class ScenarioTest(unittest.TestCase):
    """A key must not run twice, except in variants without the rule."""

    def test_late_repeat_of_a_paused_forwarder(self) -> None:
        """A repeat waits in a forwarder beyond the owner's retention time."""
        self._check(_delay_after_receipt, 'receipt without an age')

    def test_claim_held_up_beyond_the_memory(self) -> None:
        """A claim with a nonce arrives after the owner's retention time."""
        self._check(_delay_claim, 'nonce without an age')

    def test_last_repeat_takes_its_whole_time(self) -> None:
        """A repeat at the end of the window arrives late but in time."""
        self._check(_repeat_late, 'memory as long as the window')

    def test_short_pause_spans_the_end_of_a_connection(self) -> None:
        """A pause too short to be detected delays the read of a repeat."""
        _pause_shortly(ScriptedWorld(REAL))

    def test_request_read_after_a_pause(self) -> None:
        """The first send waits in the socket of a paused instance."""
        self._check(_read_after_pause, 'pause not noticed')

    def test_owner_changes_while_the_former_is_stale(self) -> None:
        """A former owner with a stale plan and the new owner are asked."""
        self._check(_move_owner, 'ownership moves unconfirmed')

    def test_late_replies_of_a_former_owner(self) -> None:
        """Old replies of a former owner arrive after its stale restart."""
        self._check(_deliver_late_replies, 'late word taken for fresh')

    def _check(self, scenario: object, variant: str) -> None:
        assert callable(scenario)
        with self.assertRaises(ViolationError):
            scenario(ScriptedWorld(BROKEN_VARIANTS[variant]))
        scenario(ScriptedWorld(REAL))


class NotRunVerdictTest(unittest.TestCase):
    """Treatment and reports of calls that did not run."""

    def test_fresh_ticket_of_live_home_in_a_cut_is_served(self) -> None:
        """An isolated domain serves calls with tickets that it issued."""
        world = ScriptedWorld()
        world.partitioned_domains.add('south')
        for number in range(4):
            caller = world.new_caller(home=number)
            world.call(caller, number)
        self.assertEqual(4, world.counts['served'])

    def test_expired_unused_ticket_was_not_run(self) -> None:
        """The issuer retains used tickets beyond their lifetime."""
        world = ScriptedWorld()
        caller = world.new_caller(home=0)
        world.pass_time(world.times.ticket_life_ms)
        refusal = world.call(caller, 1).refusal
        assert refusal is not None
        self.assertIs(RefusalCode.KEY_EXPIRED, refusal.code)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)

    def test_released_claim_can_be_used_by_a_repeat(self) -> None:
        """A call that reached no target leaves its key usable."""
        world = ScriptedWorld()
        caller = world.new_caller(home=0)
        world.fixed_draw = 0.0
        refusal = world.call(caller, 1).refusal
        assert refusal is not None
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        world.fixed_draw = 0.5
        world.call(caller, 2)
        self.assertEqual(1, caller.executions)

    def test_claim_of_a_caller_that_left_is_given_back(self) -> None:
        """The holder may have granted it, but the call won't be sent."""
        world = ScriptedWorld()
        caller = world.new_caller(home=0)
        attempt = world.begin(world.arrive(caller, 1))
        assert attempt is not None
        world.run_to(attempt, SendClaim)
        with self.assertRaises(CallerGoneError):
            attempt.throw(CallerGoneError('gone'))
            self.assertIsInstance(attempt.step, ReleaseClaim)
            attempt.send(None)

    def test_lost_reply_does_not_block_the_key(self) -> None:
        """The attempt repeats its claim, and it is granted again."""
        world = ScriptedWorld()
        caller = world.new_caller(home=0)
        attempt = world.begin(world.arrive(caller, 1))
        assert attempt is not None
        world.delays_messages = True
        world.advance(attempt)
        world.deliver_message(world.messages[0])
        world.time_out_attempt(attempt)
        world.delays_messages = False
        world.finish(attempt)
        self.assertEqual(1, caller.executions)


def _fails(seed: int, types: ComponentTypes) -> bool:
    try:
        ClaimWorld(seed, types).run(STEPS)
    except ViolationError:
        return True
    return False


def _delay_after_receipt(world: ScriptedWorld) -> None:
    caller = world.new_caller()
    owner = world.find_owner_number(caller.key)
    forwarder = (owner + 1) % 3
    attempt = world.begin(world.arrive(caller, forwarder))
    assert attempt is not None
    assert isinstance(attempt.step, FetchNonce)
    world.call(caller, owner)
    world.wait_out_quarantine()
    world.finish(attempt)


def _delay_claim(world: ScriptedWorld) -> None:
    caller = world.new_caller()
    owner = world.find_owner_number(caller.key)
    forwarder = (owner + 1) % 3
    attempt = world.begin(world.arrive(caller, forwarder))
    assert attempt is not None
    world.run_to(attempt, SendClaim)
    world.call(caller, owner)
    world.wait_out_quarantine()
    world.finish(attempt)


def _repeat_late(world: ScriptedWorld) -> None:
    caller = world.new_caller()
    owner = world.find_owner_number(caller.key)
    world.call(caller, owner)
    world.pass_time(world.times.repeat_window_ms - 1)
    arrival = world.arrive(caller, owner)
    world.pass_time(world.times.connection_ms)
    attempt = world.begin(arrival)
    assert attempt is not None
    world.finish(attempt)


def _pause_shortly(world: ScriptedWorld) -> None:
    times = world.times
    caller = world.new_caller()
    owner = world.find_owner_number(caller.key)
    world.call(caller, owner)
    world.pass_time(times.repeat_window_ms - 1)
    arrival = world.arrive(caller, owner)
    world.pass_time(times.connection_ms)
    world.process(owner).is_paused = True
    world.pass_time(times.pause_ms - 1)
    world.process(owner).is_paused = False
    attempt = world.begin(arrival)
    assert attempt is not None
    world.pass_time(times.nonce_life_ms - 1)
    world.run_to(attempt, SendClaim)
    world.pass_time(times.nonce_life_ms - 1)
    world.finish(attempt)


def _read_after_pause(world: ScriptedWorld) -> None:
    caller = world.new_caller()
    owner = world.find_owner_number(caller.key)
    paused = (owner + 1) % 3
    arrival = world.arrive(caller, paused)
    world.process(paused).is_paused = True
    world.call(caller, owner)
    world.wait_out_quarantine()
    world.process(paused).is_paused = False
    attempt = world.begin(arrival)
    if attempt is not None:
        world.finish(attempt)


def _find_moved(world: ScriptedWorld, plan: SeatPlan) -> tuple[int, int]:
    """Return the former and the new owner of the next key.

    Creates callers until the next key moves under ``plan``.
    """
    for _ in range(100):
        key = f'key-{len(world.callers)}'
        world.process(3).apply(plan)
        new = world.process(3).ownership.find_owner(key)
        if new == world.process(3).address:
            return world.find_owner_number(key), 3
        world.new_caller()
    raise AssertionError('no key moves')


def _move_owner(world: ScriptedWorld) -> None:
    old_plan = world.plans[0]
    addresses = tuple(peer.address for peer in world.fleet_list.peers)
    plan = SeatPlan(2, addresses, (old_plan.seats,))
    former, new = _find_moved(world, plan)
    world.wait_out_quarantine()
    caller = world.new_caller()
    world.call(caller, former)
    world.call(caller, new)


def _deliver_late_replies(world: ScriptedWorld) -> None:
    old_plan = world.plans[0]
    addresses = tuple(peer.address for peer in world.fleet_list.peers)
    plan = SeatPlan(2, addresses, (old_plan.seats,))
    former, new = _find_moved(world, plan)
    process = world.process(new)
    asked_times_ms = []
    world.process(former).apply(plan)
    for _ in range(REPLY_COUNT):
        asked_times_ms.append(process.clock.now_ms())
        world.pass_time(REPLY_INTERVAL_MS)
    name = f'instance-{former}'
    peer = next(p for p in world.fleet_list.peers if p.instance == name)
    world.start(peer)
    world.process(former).apply(old_plan)
    address = world.process(former).address
    caller = world.new_caller()
    for count, asked_ms in enumerate(asked_times_ms):
        process.ownership.record_epoch(address, 2, asked_ms)
        world.pass_time(REPLY_INTERVAL_MS)
        if count == REPLY_COUNT - 5:
            caller.first_sent_ms = world.clock.now_ms()
            world.call(caller, former)
    world.call(caller, new)
