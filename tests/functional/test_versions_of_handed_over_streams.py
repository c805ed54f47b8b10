"""Streams that a peer begins for an instance without links to targets.

Guards against an answer that goes on at another version, since the instance
that writes it to the caller doesn't know at which one it began.
"""

import re
from typing import Any
import unittest
from unittest import mock

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from tests.functional.test_gateway_answers import call

CUT = 0
INSTANCE_COUNT = 3
ENGINES = {'chat-0': 'v1', 'chat-1': 'v1', 'chat-2': 'v2', 'chat-3': 'v2'}
STREAMS = 16
NOTICE_S = 1.5
"""Time for a few calls and a heartbeat, after which a cut is known."""
STREAM_TIME_S = 1.5
MAX_MIXED = 0


class VersionsOfHandedOverStreamsTest(unittest.TestCase):
    """Three instances and two versions; the first instance's links are cut."""

    def setUp(self) -> None:
        """Start a fleet, and let the first instance notice the cut."""
        self.fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, engine_count=0, can_cut=True
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        for name, version in ENGINES.items():
            self.fleet.add_target(name, 'chat', version)
        gevent.sleep(1.0)
        self.fleet.cut_links(CUT, CutKind.REFUSE)
        gevent.sleep(0.1)
        call(self.fleet, 'stream', instance=CUT)
        gevent.sleep(NOTICE_S)

    # Guards against the rest of a stream from any target, once the peer that
    # ran it is gone and the instance reaches the targets again.
    def test_stream_goes_on_at_its_version_when_the_peers_are_killed(
        self,
    ) -> None:
        """All events of an answer are of one version, and most go on."""
        calls = [
            gevent.spawn(
                call, self.fleet, 'stream', instance=CUT, X_Fault='slow'
            )
            for _ in range(STREAMS)
        ]
        gevent.sleep(STREAM_TIME_S / 3)
        self.fleet.mend_links(CUT)
        gevent.sleep(STREAM_TIME_S / 6)
        for number in range(INSTANCE_COUNT):
            if number != CUT:
                self.fleet.processes[number].kill()
        gevent.joinall(calls, raise_error=True)
        bodies = [item.value[1].body.decode() for item in calls]
        versions = [set(re.findall(r'of (v\d)', body)) for body in bodies]
        begun = [found for found in versions if found]
        mixed = [found for found in begun if len(found) > 1]
        self.assertGreater(len(begun), STREAMS // 2)
        self.assertLessEqual(len(mixed), MAX_MIXED, versions)
        whole = [item for item in calls if item.value[1].status == 200]
        self.assertGreater(len(whole), len(begun) // 2)

    # Guards against a header between instances that reaches a caller.
    def test_caller_gets_no_header_of_a_peer(self) -> None:
        """The answer has the headers of its target."""
        _, answer = call(self.fleet, 'stream', instance=CUT)
        self.assertEqual(200, answer.status)
        self.assertEqual('stamp', answer.headers['server-stamp'])
        names = [name for name in answer.headers if 'lagoonbend' in name]
        self.assertEqual([], names)


class DividedRouteTest(unittest.TestCase):
    """Three instances; a route is divided among services of two versions."""

    # Guards against an answer that a peer goes on with at another service
    # than the one that began it, as the peer chooses the service anew.
    def test_answer_goes_on_at_the_service_that_began_it(self) -> None:
        """All events of an answer are of one version."""
        fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, engine_count=0, can_cut=True
        )
        fleet.__enter__()
        self.addCleanup(fleet.__exit__, None, None, None)
        for name in list(fleet.targets):
            fleet.remove_target(name)
        for name, version in ENGINES.items():
            service = 'chat' if version == 'v1' else 'desk'
            fleet.add_target(name, service, version)
        build_route = gateway_fleet._build_route
        shares = [{'service': name, 'weight': 1} for name in ('chat', 'desk')]

        def build(name: str, *others: Any) -> dict[str, object]:
            route = build_route(name, *others)
            return route | (
                {'weighted-services': shares} if name == 'stream' else {}
            )

        with mock.patch.object(gateway_fleet, '_build_route', build):
            fleet.publish_configuration(timeout_ms=6_000)
        gevent.sleep(7.5)
        calls = [
            gevent.spawn(call, fleet, 'stream', instance=CUT, X_Fault='slow')
            for _ in range(STREAMS)
        ]
        gevent.sleep(STREAM_TIME_S / 3)
        fleet.cut_links(CUT, CutKind.REFUSE)
        gevent.joinall(calls, raise_error=True)
        bodies = [item.value[1].body.decode() for item in calls]
        versions = [set(re.findall(r'of (v\d)', body)) for body in bodies]
        mixed = [found for found in versions if len(found) > 1]
        self.assertLessEqual(len(mixed), MAX_MIXED, versions)


if __name__ == '__main__':
    unittest.main()
