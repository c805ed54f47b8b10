"""Rounds of exchanges until every instance knows a newer value."""

import random
from typing import NamedTuple

from lagoonbend_entry.peering import OTHER_DOMAIN_PEERS
from lagoonbend_entry.peering import SAME_DOMAIN_PEERS

DOMAINS = 6
SEEDS = 20
SIZES = (4, 16, 64, 256, 420)


class Spread(NamedTuple):
    """One row of the table.

    :param instances: size of the fleet.
    :param rounds_mean: mean over seeds, from one instance that knows.
    :param rounds_worst: worst seed.
    """

    instances: int
    rounds_mean: float
    rounds_worst: int


def measure_spread() -> list[Spread]:
    """Return a row for each size; the platform reaches one instance."""
    rows = []
    for size in SIZES:
        rounds = [_count_rounds(size, seed) for seed in range(SEEDS)]
        rows.append(Spread(size, sum(rounds) / SEEDS, max(rounds)))
    return rows


def _count_rounds(instances: int, seed: int) -> int:
    rng = random.Random(seed)
    knows = {0}
    rounds = 0
    while len(knows) < instances:
        rounds += 1
        before = set(knows)
        for number in range(instances):
            for peer in _choose_peers(rng, number, instances):
                # Who asks learns from the answer, who is asked from the
                # question; either fetches the value from the other.
                if peer in before or number in before:
                    knows |= {peer, number}
    return rounds


def _choose_peers(
    rng: random.Random, number: int, instances: int
) -> list[int]:
    others = [n for n in range(instances) if n != number]
    near = [n for n in others if n % DOMAINS == number % DOMAINS]
    far = [n for n in others if n % DOMAINS != number % DOMAINS]
    chosen = rng.sample(near, min(SAME_DOMAIN_PEERS, len(near)))
    return chosen + rng.sample(far, min(OTHER_DOMAIN_PEERS, len(far)))
