"""Partitions between failure domains, and targets or instances that fail.

An instance learns of a failure from missing heartbeats or from the outcome of
a call. The tests guard against pools with two deciders or none outside of a
partition, calls that go on to unreachable or crashed targets, and slots that
a lost instance keeps.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import TargetSet
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.messages import Pong
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import CallRecord
from tests.lib.pool_world import PoolWorld

CALL = CallKind(rank=0, hold_ms=200)
SERVICE = 'chat'


class FleetWorld:
    """Instances that exchange heartbeats on a paused clock."""

    def __init__(self, count: int) -> None:
        self.clock = PausedClock(1_000_000)
        self.names = [f'10.0.{n}.1:80' for n in range(count)]
        self.fleets = {
            name: Fleet(name, f'd{n % 2}', self.names[:3], self.clock)
            for n, name in enumerate(self.names)
        }
        self.is_decider: dict[str, bool] = dict.fromkeys(self.names, False)
        self.leaving: set[str] = set()
        self.sides: list[set[str]] = [set(self.names)]
        self.advance(4_000)

    def advance(self, span_ms: int) -> None:
        """Advance the clock; heartbeats stay within each side."""
        for _ in range(span_ms // 250):
            self.clock.advance(250)
            for side in self.sides:
                for receiver in side:
                    for sender in side - {receiver}:
                        self.fleets[receiver].record_pong(
                            self.write_pong(sender)
                        )

    def write_pong(self, name: str) -> Pong:
        """Return the heartbeat of an instance."""
        fleet = self.fleets[name]
        pools = [SERVICE] if self.is_decider[name] else []
        return Pong(
            self.clock.now_ms(),
            name,
            fleet.failure_domain,
            'x',
            fleet.uptime_ms,
            name in self.leaving,
            pools,
            fleet.list_relayed_members(),
            0,
            None,
            {},
        )

    def update_deciders(self) -> dict[str, str]:
        """Return the decider that each instance chooses; apply the choice."""
        found = {
            name: fleet.find_decider(
                SERVICE,
                decides=self.is_decider[name],
                is_leaving=name in self.leaving,
            )
            for name, fleet in self.fleets.items()
            if any(name in side for side in self.sides)
        }
        for name in self.names:
            self.is_decider[name] = found.get(name) == name
        return found


class DeciderTest(unittest.TestCase):
    """Choice of the decider of a pool, without an election."""

    def test_all_agree_and_the_choice_stays(self) -> None:
        """The choice is the same at all instances and over time."""
        world = FleetWorld(7)
        chosen = set(world.update_deciders().values())
        self.assertEqual(1, len(chosen))
        world.advance(2_000)
        self.assertEqual(chosen, set(world.update_deciders().values()))

    def test_each_side_of_a_cut_decides_and_they_join_again(self) -> None:
        """Each side has one decider; one is left after the partition."""
        world = FleetWorld(7)
        world.update_deciders()
        world.sides = [set(world.names[:2]), set(world.names[2:])]
        world.advance(2_000)
        found = world.update_deciders()
        for side in world.sides:
            deciders = {found[name] for name in side}
            self.assertEqual(1, len(deciders))
            self.assertLessEqual(deciders, side)
        world.sides = [set(world.names)]
        for _ in range(3):
            world.advance(500)
            found = world.update_deciders()
        self.assertEqual(1, len(set(found.values())))

    def test_dead_and_leaving_deciders_are_replaced(self) -> None:
        """Replacement takes no longer than noticing missing heartbeats."""
        world = FleetWorld(5)
        first = next(iter(world.update_deciders().values()))
        world.leaving.add(first)
        world.advance(500)
        found = world.update_deciders()
        second = {found[name] for name in world.names if name != first}
        self.assertEqual(1, len(second))
        self.assertNotIn(first, second)
        world.sides = [set(world.names) - second]
        world.advance(1_250)
        world.leaving.clear()
        self.assertFalse(second & set(world.update_deciders().values()))

    # Guards against a limit that both sides of a cut use as a whole, since a
    # cut that resets connections looks like the end of all peers beyond it.
    def test_instance_that_refuses_keeps_its_part_of_limits(self) -> None:
        """Unless it has said that it leaves, and not come back since."""
        world = FleetWorld(6)
        fleet = world.fleets[world.names[0]]
        self.assertEqual(6, fleet.count_known())
        world.leaving = {world.names[4]}
        world.advance(250)
        world.sides = [set(world.names[:4])]
        world.advance(1_500)
        self.assertEqual(4, fleet.count_alive())
        self.assertEqual(6, fleet.count_known())
        fleet.record_refused(world.names[5])
        self.assertEqual(6, fleet.count_known())
        fleet.record_refused(world.names[4])
        self.assertEqual(5, fleet.count_known())
        world.leaving.clear()
        world.sides = [set(world.names)]
        world.advance(250)
        self.assertEqual(6, fleet.count_known())
        fleet.record_refused(world.names[4])
        self.assertEqual(6, fleet.count_known())

    # Guards against the same in a fleet that learns of most by hearsay.
    def test_each_side_of_a_cut_with_resets_counts_the_other(self) -> None:
        """Not more than one side uses the whole limit."""
        for count in (6, 7, 24):
            world = FleetWorld(count)
            half = set(world.names[::2])
            world.sides = [half, set(world.names) - half]
            for side in world.sides:
                for name in side:
                    for other in set(world.names) - side:
                        world.fleets[name].record_refused(other)
            world.advance(2_500)
            majorities = [
                fleet.count_alive() > fleet.count_known() / 2
                for fleet in (
                    world.fleets[sorted(side)[0]] for side in world.sides
                )
            ]
            self.assertLessEqual(sum(majorities), 1, count)


def list_targets(records: list[CallRecord]) -> set[str]:
    """Return the targets of the slots that calls obtained."""
    return {record.decision.target for record in records if record.decision}


class UnreachableDomainTest(unittest.TestCase):
    """Which failure domains count as unreachable."""

    def test_domain_without_any_heartbeat_is_unreachable(self) -> None:
        """Domains of instances that have left and the own one are not."""
        world = FleetWorld(6)
        reachable = [
            name for name in world.names if name.split('.')[2] in '024'
        ]
        fleet = world.fleets[reachable[0]]
        self.assertEqual(frozenset(), fleet.list_unreachable_domains())
        others = set(world.names) - set(reachable)
        world.sides = [set(reachable), others]
        world.advance(1_250)
        self.assertEqual(frozenset({'d1'}), fleet.list_unreachable_domains())
        for name in others:
            fleet.record_refused(name)
        self.assertEqual(frozenset({'d1'}), fleet.list_unreachable_domains())
        world.sides = [set(world.names)]
        world.leaving = others
        world.advance(250)
        for name in others:
            fleet.record_refused(name)
        self.assertEqual(frozenset(), fleet.list_unreachable_domains())


class FailingTargetTest(unittest.TestCase):
    """Choice of targets after failed calls."""

    def test_unreached_target_is_avoided_by_its_domain_only(self) -> None:
        """Instances of another domain may still reach it."""
        world = PoolWorld(targets=2, slots=50, is_engine=False)
        first = world.arrive(CALL, failure_domain='d0')
        assert first.decision is not None
        unreachable = first.decision.target
        world.end(first.request.call, SlotOutcome.NOT_REACHED)
        records_of_d0 = [
            world.arrive(CALL, failure_domain='d0') for _ in range(10)
        ]
        records_of_d1 = [
            world.arrive(CALL, failure_domain='d1') for _ in range(40)
        ]
        self.assertNotIn(
            unreachable,
            {r.decision and r.decision.target for r in records_of_d0},
        )
        self.assertIn(
            unreachable,
            {r.decision and r.decision.target for r in records_of_d1},
        )

    def test_cut_off_domain_is_avoided_after_one_failed_connection(
        self,
    ) -> None:
        """Targets of a domain whose instances are unreachable are too."""
        world = PoolWorld(targets=6, slots=50, is_engine=False)
        isolated = {t.target for t in world.listed if t.failure_domain == 'd1'}
        world.scheduler.targets.unreachable_domains = frozenset({'d1'})
        first = world.arrive(CALL, failure_domain='d1')
        assert first.decision is not None
        self.assertIn(first.decision.target, isolated)
        request = first.request._replace(failure_domain='d0')
        list(
            world.scheduler.release(
                request.instance,
                request.call,
                first.decision.target,
                SlotOutcome.NOT_REACHED,
                0,
                'd0',
            )
        )
        records = [world.arrive(CALL, failure_domain='d0') for _ in range(60)]
        self.assertFalse(isolated & list_targets(records))

    def test_crashed_target_attracts_no_calls(self) -> None:
        """One refused connection excludes the target everywhere.

        Otherwise it would attract calls, since it looks idle.
        """
        world = PoolWorld(targets=4, slots=10, is_engine=False)
        hits = 0
        for number in range(100):
            record = world.arrive(CALL, failure_domain=f'd{number % 4}')
            assert record.decision is not None
            if record.decision.target == 't0':
                hits += 1
                world.end(record.request.call, SlotOutcome.GONE)
            world.run(20)
        self.assertIn(hits, range(1, 5))

    def test_crashed_target_is_tried_with_one_call_at_a_time(self) -> None:
        """A single call probes it, so that few fail if it is still down."""
        world = PoolWorld(targets=2, slots=10, is_engine=False)
        failed = world.arrive(CALL)
        assert failed.decision is not None
        name = failed.decision.target
        world.end(failed.request.call, SlotOutcome.GONE)
        world.run(1_050)
        records = [world.arrive(CALL) for _ in range(11)]
        tried = [
            r for r in records if r.decision and r.decision.target == name
        ]
        self.assertEqual(1, len(tried))
        world.end(tried[0].request.call)
        later_records = [world.arrive(CALL) for _ in range(9)]
        self.assertIn(name, list_targets(later_records))

    def test_service_whose_targets_are_all_absent_is_refused_at_once(
        self,
    ) -> None:
        """Another pool may have targets; a retry is made after 1 s."""
        world = PoolWorld(targets=2, slots=10, is_engine=False)
        for _ in range(2):
            record = world.arrive(CALL)
            world.end(record.request.call, SlotOutcome.GONE)
        refused = world.arrive(CALL)
        assert refused.decision is not None
        self.assertIs(Denial.NO_TARGET, refused.decision.denial)
        world.run(1_050)
        again = world.arrive(CALL)
        assert again.decision is not None
        self.assertIsNone(again.decision.denial)

    def test_unreachable_slots_are_no_free_capacity(self) -> None:
        """Slots of unreachable targets do not count as free capacity."""
        world = PoolWorld(targets=4, slots=2, is_engine=False)
        for target in ('t1', 't3'):
            load = world.scheduler.targets.find(target)
            assert load is not None
            load.faults.record_unreachable('d0', world.clock.now_ms())
        with mock.patch.object(
            TargetSet,
            'choose',
            autospec=True,
            side_effect=TargetSet.choose,
        ) as choose:
            records = [world.arrive(CALL) for _ in range(100)]
        denials = [r.decision and r.decision.denial for r in records]
        self.assertGreater(denials.count(Denial.OVERLOADED), 80)
        self.assertLessEqual(choose.call_count, 2 * len(records))

    def test_failing_target_is_ejected_and_tried_again(self) -> None:
        """A failing target is ejected, and used again once it recovers."""
        world = PoolWorld(targets=4, slots=10, is_engine=False)
        hits = 0
        for _ in range(200):
            record = world.arrive(CALL)
            assert record.decision is not None
            if record.decision.target == 't0':
                hits += 1
                world.end(record.request.call, SlotOutcome.BAD_ANSWER)
            world.run(20)
        self.assertLess(hits, 30)
        world.run(5_000)
        targets = set()
        for _ in range(50):
            record = world.arrive(CALL)
            assert record.decision is not None
            targets.add(record.decision.target)
            world.run(20)
        self.assertIn('t0', targets)

    def test_never_all_targets_are_ejected(self) -> None:
        """A service whose targets all fail still receives calls."""
        world = PoolWorld(targets=3, slots=10, is_engine=False)
        for _ in range(100):
            record = world.arrive(CALL)
            assert record.decision is not None
            self.assertIsNone(record.decision.denial)
            world.end(record.request.call, SlotOutcome.SILENT)
            world.run(10)

    def test_call_that_all_targets_have_failed_is_denied_at_once(self) -> None:
        """No target is left that the call could wait for."""
        world = PoolWorld(targets=1)
        first = world.arrive(CALL)
        assert first.decision is not None
        request = first.request._replace(
            call='again', excluded=(first.decision.target,)
        )
        decisions = list(world.scheduler.submit(request, None))
        self.assertEqual([Denial.NO_TARGET], [d.denial for d in decisions])

    def test_lost_instance_frees_its_slots(self) -> None:
        """Waiting calls of other instances obtain its slots."""
        world = PoolWorld(targets=1, slots=2)
        for _ in range(2):
            world.arrive(CALL, instance='lost')
        waiting = world.arrive(CALL, instance='i0')
        self.assertIsNone(waiting.decision)
        granted = list(world.scheduler.drop_instance('lost'))
        self.assertEqual([waiting.request.call], [d.call for d in granted])

    def test_prompts_go_where_they_are_cached(self) -> None:
        """Sessions return to the engine whose cache holds their prompt."""
        kind = CallKind(rank=0, hold_ms=200, prompt_tokens=3_000)
        world = PoolWorld(targets=4, slots=10)
        seen: dict[str, set[str]] = {}
        for number in range(120):
            session = f's{number % 8}'
            record = world.arrive(kind, session=session)
            assert record.decision is not None
            seen.setdefault(session, set()).add(record.decision.target)
            world.run(40)
        self.assertLessEqual(sum(map(len, seen.values())), 10)


if __name__ == '__main__':
    unittest.main()
