"""All instances of a large fleet use a pool for the first time at once.

So it is after their start, when a pool's decider changes, and when an overload
sends calls to other domains. An instance then has no link to the decider yet.
Guards against calls that all instances schedule themselves, each at the same
target, without regard to rank or to the calls of the others.
"""

import collections
import unittest
from unittest import mock

import gevent
import gevent.socket

from lagoonbend.clock import PausedClock
from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimits
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import peer_link
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.schedulers import PoolSchedulers
from tests.lib.coordinator_facts import build_facts

INSTANCES = 195
TARGETS = tuple(
    ListedTarget(f'engine-{n}', 'chat', '10.1.0.1', 80 + n, 'd0', 8, False)
    for n in range(7)
)
OWN_ADDRESS = '10.0.0.1:80'
DECIDER = '10.0.0.2:80'
CONNECT_S = 0.005
"""A round trip between failure domains."""
GRANTED = 'engine-5'


def build_request(instance: str) -> SlotRequest:
    """Return the request of a call at an instance."""
    return SlotRequest(
        call=f'call-of-{instance}',
        instance=instance,
        failure_domain='d0',
        pool='chat##0/1',
        rank=0,
        route_rank=0,
        customer='',
        cost_units=0.0,
        waited_ms=0,
        objective_ms=600,
        deadline_ms=2_000,
    )


class FallbackSpreadTest(unittest.TestCase):
    """The schedulers that all instances use while they have no link."""

    def test_instances_choose_different_targets(self) -> None:
        """No target gets more than twice its part of the calls."""
        counts: collections.Counter[str] = collections.Counter()

        def count(decision: SlotDecision) -> None:
            counts[decision.target] += 1

        for number in range(INSTANCES):
            address = f'10.0.0.{number}:80'
            schedulers = PoolSchedulers(
                build_facts(lambda service: TARGETS),
                PausedClock(1_000_000),
                SharedLimits(LimitTolerance()),
                Invariants(strict=True),
                count,
                lambda: None,
                NamedLimits(PausedClock()),
                spread_key=address,
            )
            schedulers.run_cycle(1 / INSTANCES, 1 / INSTANCES, frozenset())
            schedulers.submit(build_request(address), None)
        print(counts)
        self.assertEqual(INSTANCES, counts.total())
        self.assertLessEqual(
            max(counts.values()), 2 * INSTANCES / len(TARGETS)
        )


class PlayedDecider:
    """A decider that grants each call the same target."""

    def __init__(self) -> None:
        self.is_listening = True
        self.asked: list[str] = []

    def connect(
        self, address: tuple[str, int], timeout_ms: int
    ) -> gevent.socket.socket:
        """Return a connection to it, after a round trip."""
        gevent.sleep(CONNECT_S)
        if not self.is_listening:
            raise TimeoutError('out of reach')
        near, far = gevent.socket.socketpair()
        gevent.spawn(self._serve, message_channel.MessageChannel(far))
        return near

    def _serve(self, channel: message_channel.MessageChannel) -> None:
        for message in channel.receive():
            if isinstance(message, messages.Ask):
                self.asked.append(message.call)
                channel.send(
                    messages.Decision(message.call, GRANTED, 100, '', 0, 0, 0)
                )


class FirstCallTest(unittest.TestCase):
    """One instance, and a decider that it has no link to."""

    def setUp(self) -> None:
        """Create the instance, without its loops."""
        clock = RuntimeClock()
        self.decider = PlayedDecider()
        peers = [f'10.0.1.{number}:80' for number in range(30)]
        fleet = Fleet(OWN_ADDRESS, 'd0', [DECIDER, *peers], clock)
        self.coordinator = Coordinator(
            fleet,
            build_facts(lambda service: TARGETS),
            clock,
            Invariants(strict=True),
            'start',
            LimitTolerance(),
        )
        patches = (
            mock.patch.object(
                peer_link, 'open_tcp_socket', self.decider.connect
            ),
            mock.patch.object(
                Fleet, 'find_decider', lambda *unused, **names: DECIDER
            ),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def acquire(self, name: str) -> SlotDecision:
        """Return the decision on a call."""
        request = build_request(OWN_ADDRESS)._replace(call=name)
        return self.coordinator.acquire(request, None, 2_000)

    def test_calls_wait_until_the_link_to_the_decider_is_open(self) -> None:
        """All calls that come meanwhile are the decider's to grant."""
        greenlets = [gevent.spawn(self.acquire, f'c{n}') for n in range(5)]
        gevent.joinall(greenlets, timeout=1.0)
        decisions = [greenlet.get(block=False) for greenlet in greenlets]
        self.assertEqual([GRANTED] * 5, [d.target for d in decisions])
        self.assertEqual(5, len(self.decider.asked))

    def test_calls_dont_wait_for_a_decider_out_of_reach(self) -> None:
        """The instance grants a slot of its share once connecting failed."""
        self.decider.is_listening = False
        for name in ('first', 'second'):
            with gevent.Timeout(0.1):
                self.assertTrue(self.acquire(name).target)


if __name__ == '__main__':
    unittest.main()
