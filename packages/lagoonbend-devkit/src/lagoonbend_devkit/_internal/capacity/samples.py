"""Generated configurations of any size, as input of measurements."""

import hashlib

import msgspec

from lagoonbend.configuration import CustomerEntry
from lagoonbend.models import FleetList
from lagoonbend.models import Peer
from lagoonbend.models import Target

DOMAIN_COUNT = 6


def build_customers(count: int) -> list[CustomerEntry]:
    """Return customers that have a rate limit."""
    return [
        {
            'name': f'customer-{number:05}',
            'key_sha256': hashlib.sha256(str(number).encode()).hexdigest(),
            'rate_per_s': 5.0,
            'burst': 20,
        }
        for number in range(count)
    ]


def build_targets(count: int) -> list[Target]:
    """Return engines, distributed evenly over all failure domains."""
    return [
        Target(
            f'engine-{number:03}',
            'engine',
            '10.0.0.1',
            8000,
            f'domain-{number % DOMAIN_COUNT}',
            ('assistant', 'drafts'),
        )
        for number in range(count)
    ]


def build_fleet_list(peers: int, targets: int) -> FleetList:
    """Return a fleet list with the given numbers of instances and targets."""
    return FleetList(
        1,
        tuple(
            Peer(
                f'instance-{number:03}',
                '10.0.0.1',
                7000,
                f'domain-{number % DOMAIN_COUNT}',
            )
            for number in range(peers)
        ),
        tuple(build_targets(targets)),
    )


def encode_fleet_list(fleet: FleetList) -> bytes:
    """Return a fleet list as JSON, as the platform publishes it."""
    return msgspec.json.encode(
        {
            'revision': fleet.revision,
            'instances': [peer._asdict() for peer in fleet.peers],
            'targets': [target._asdict() for target in fleet.targets],
        }
    )
