"""Simulates how a new value spreads over the instances by gossip."""

import random
from typing import NamedTuple

from lagoonbend_entry.peering import OTHER_DOMAIN_PEERS
from lagoonbend_entry.peering import SAME_DOMAIN_PEERS

DOMAIN_COUNT = 6
SEED_COUNT = 20
FLEET_SIZES = (4, 16, 64, 256, 420)


class Spread(NamedTuple):
    """One row of the table.

    :param instances: size of the fleet.
    :param rounds_mean: rounds until every instance has a value that one
        instance had at the start; mean over the seeds.
    :param rounds_worst: the same for the worst seed.
    """

    instances: int
    rounds_mean: float
    rounds_worst: int


def measure_spread() -> list[Spread]:
    """Return a row for each fleet size.

    The platform is assumed to reach a single instance.
    """
    rows = []
    for size in FLEET_SIZES:
        rounds = [_count_rounds(size, seed) for seed in range(SEED_COUNT)]
        rows.append(Spread(size, sum(rounds) / SEED_COUNT, max(rounds)))
    return rows


def _count_rounds(instances: int, seed: int) -> int:
    rng = random.Random(seed)
    informed = {0}
    rounds = 0
    while len(informed) < instances:
        rounds += 1
        informed_before = set(informed)
        for number in range(instances):
            for peer in _choose_peers(rng, number, instances):
                # Request and reply both carry a digest, so either side
                # notices the newer value and fetches it from the other.
                if peer in informed_before or number in informed_before:
                    informed |= {peer, number}
    return rounds


def _choose_peers(
    rng: random.Random, number: int, instances: int
) -> list[int]:
    others = [n for n in range(instances) if n != number]
    same_domain = [
        n for n in others if n % DOMAIN_COUNT == number % DOMAIN_COUNT
    ]
    other_domains = [
        n for n in others if n % DOMAIN_COUNT != number % DOMAIN_COUNT
    ]
    chosen = rng.sample(same_domain, min(SAME_DOMAIN_PEERS, len(same_domain)))
    return chosen + rng.sample(
        other_domains, min(OTHER_DOMAIN_PEERS, len(other_domains))
    )
