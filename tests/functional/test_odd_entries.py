"""Entries that no target has written, among those of the targets.

Guards against instances that end, or stop following the list of targets, since
another writer has left an entry that they can't read.
"""

import json
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

DEPTH = 100_000
FOLLOW_S = 2.0
"""Time after which a change is in force: two watches of the store."""
REGISTRATION = {
    'service': 'chat',
    'address': '10.0.0.1:80',
    'zone': 'domain-a',
    'slots': 4,
    'state': 'ready',
}


def build_entry(**fields: object) -> bytes:
    """Return a registration with some fields replaced."""
    return json.dumps(REGISTRATION | fields).encode()


ODD_ENTRIES = {
    'nested': b'[' * DEPTH + b']' * DEPTH,
    'nested-field': (
        b'{"service":"chat","x":' + b'[' * DEPTH + b']' * DEPTH + b'}'
    ),
    'many-slots': build_entry(slots=10**9),
    'huge-slots': build_entry(slots=10**400),
    'huge-start': build_entry(born=10**400),
    'port': build_entry(address='10.0.0.1:99999'),
    'long-port': build_entry(address='10.0.0.1:' + '9' * 5_000),
    'no-text': b'\xff\xfe',
    'empty': b'',
    'n\u00e4me \u20ac': build_entry(),
    'line\r\nX-Injected: 1': build_entry(),
}


class OddEntriesTest(unittest.TestCase):
    """Two instances, one more that starts later, and odd entries."""

    def test_odd_entries_are_left_out(self) -> None:
        """Changes after them are in force, and all other targets in use."""
        fleet = gateway_fleet.GatewayFleet(2, engine_count=1)
        with fleet:
            for name, value in ODD_ENTRIES.items():
                fleet.store.put_bytes(f'servers/{name}', value)
            gevent.sleep(FOLLOW_S)
            fleet.publish_configuration(keys=('k-later',))
            fleet.add_target('chat-later', 'chat')
            fleet.remove_target('chat-0')
            gevent.sleep(FOLLOW_S)
            # It reads the odd entries in its first listing.
            fleet.processes[0].kill()
            fleet.start_instance(0)
            fleet.wait_ready(0)
            for number in range(2):
                for route in ('stream', 'booking'):
                    answer = exchange(
                        fleet.callers_port(number),
                        'POST',
                        f'/{route}/x',
                        body=b'body',
                        headers=gateway_fleet.build_call_headers(
                            f'{route}-{number}', key='k-later'
                        ),
                    )
                    self.assertEqual((200, route), (answer.status, route))
            self.assertTrue(fleet.processes[1].is_running)
            logs = [p.log_path.read_text() for p in fleet.processes]
        for log in logs:
            self.assertNotIn('"LB0006"', log)
            self.assertIn('"LB0511"', log)
