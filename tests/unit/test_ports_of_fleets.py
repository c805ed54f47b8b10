"""Port numbers of fleets that start at the same time.

A port is chosen before anything listens on it. The tests guard against two
test processes that choose the same port, and against an outgoing connection
that takes it in the meantime.
"""

import random
import subprocess
import sys
import unittest

from lagoonbend_devkit.fleet import find_free_ports

SEED = 20_261_204
COUNT = 17
OTHER_SUITE = f"""
import random
from lagoonbend_devkit.fleet import find_free_ports
print(*find_free_ports({COUNT}, random.Random({SEED})))
"""


class PortsOfFleetsTest(unittest.TestCase):
    """Two processes draw ports from the same random numbers."""

    def test_ports_in_use_here_are_not_given_to_another_process(self) -> None:
        """Ports are reserved although nothing listens on them yet."""
        here = find_free_ports(COUNT, random.Random(SEED))
        other = subprocess.run(
            [sys.executable, '-c', OTHER_SUITE],
            capture_output=True,
            check=True,
            text=True,
        )
        there = [int(port) for port in other.stdout.split()]
        self.assertEqual(COUNT, len(set(there)))
        self.assertFalse(set(here) & set(there))

    def test_outgoing_connections_take_none_of_the_ports(self) -> None:
        """All ports are below the ephemeral range of the system."""
        with open(
            '/proc/sys/net/ipv4/ip_local_port_range', encoding='ascii'
        ) as source:
            lowest = int(source.read().split()[0])
        ports = find_free_ports(COUNT, random.Random(SEED))
        self.assertLess(max(ports), lowest)


if __name__ == '__main__':
    unittest.main()
