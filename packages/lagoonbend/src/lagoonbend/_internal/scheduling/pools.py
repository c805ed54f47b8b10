"""Divides the targets of a large service among several schedulers.

A pool is named ``SERVICE#INDEX/COUNT``. Each target belongs to one pool, and
all instances that know the same targets agree on which.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import math
from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.utils.rendezvous import score_candidate

PLACES_A_POOL = 65
"""Places that one scheduler gives, within a factor of 1.4; at the sheets'
rates an instance of half a core spends a tenth of it on that."""
NEWS_HALF_LIFE_MS = 500
"""Time in which the news of a wait loses half of its weight."""
AWAY_MS = 60.0
"""Wait that a call accepts in its own pool before it goes to another."""
PARTS_KEPT = 4_096
"""Targets whose part is remembered, since each call asks for all of a
service."""
HASH_RANGE = float(2**64)


class Pool(NamedTuple):
    """A part of a service's targets.

    :param service: the service.
    :param part: number of the part, from 0.
    :param parts: number of parts.
    """

    service: str
    part: int
    parts: int

    @property
    def name(self) -> str:
        """Name that travels between instances."""
        return f'{self.service}#{self.part}/{self.parts}'

    @classmethod
    def parse(cls, name: str) -> 'Pool':
        """Return the pool with a name; a bare service is one pool."""
        service, _, part = name.rpartition('#')
        index, _, count = part.partition('/')
        if not service or not index.isdecimal() or not count.isdecimal():
            return cls(name, 0, 1)
        return cls(service, int(index), int(count))

    def select(
        self, targets: Iterable[ListedTarget]
    ) -> tuple[ListedTarget, ...]:
        """Return the targets of this pool."""
        if self.parts <= 1:
            return tuple(targets)
        return tuple(
            target
            for target in targets
            if find_part(target.target, self.parts) == self.part
        )


@functools.lru_cache(PARTS_KEPT)
def find_part(target: str, count: int) -> int:
    """Return the part that a target belongs to, of ``count`` parts."""
    return max(
        range(count), key=lambda index: score_candidate(str(index), target)
    )


def count_parts(targets: Sequence[ListedTarget]) -> int:
    """Return the number of pools that a service is divided into.

    A power of two, so that it stays when some targets come or go.
    """
    places = sum(target.slots for target in targets)
    if places <= PLACES_A_POOL:
        return 1
    return int(2 ** round(math.log2(places / PLACES_A_POOL)))


class PoolLoads:
    """What decisions have told of the waits in pools."""

    def __init__(self) -> None:
        self._waits: dict[str, tuple[int, int]] = {}

    def note(self, pool: str, wait_ms: int, now_ms: int) -> None:
        """Take in the expected wait in a pool."""
        self._waits[pool] = (wait_ms, now_ms)

    def estimate_wait_ms(self, pool: str, now_ms: int) -> float:
        """Return the expected wait, which fades as the news ages."""
        wait_ms, noted_ms = self._waits.get(pool, (0, now_ms))
        age_ms = max(0, now_ms - noted_ms)
        return float(wait_ms) * 0.5 ** (age_ms / NEWS_HALF_LIFE_MS)


def choose_pool(
    service: str,
    targets: Sequence[ListedTarget],
    key: str,
    loads: PoolLoads,
    now_ms: int,
) -> Pool:
    """Return the pool of a call, in proportion to the pools' places.

    Calls with one key go to the same pool, where their prompt is kept,
    unless the wait there is longer than it would be elsewhere.

    :param key: session or call.
    """
    count = count_parts(targets)
    if count == 1:
        return Pool(service, 0, 1)
    places = [0] * count
    for target in targets:
        places[find_part(target.target, count)] += target.slots

    def weigh(index: int) -> float:
        fraction = (score_candidate(str(index), key) + 1) / (HASH_RANGE + 2)
        return -places[index] / math.log(fraction)

    home = max(range(count), key=weigh)

    def estimate_cost_ms(index: int) -> float:
        pool = Pool(service, index, count)
        cost_ms = loads.estimate_wait_ms(pool.name, now_ms)
        return cost_ms + (0.0 if index == home else AWAY_MS)

    usable = [index for index in range(count) if places[index]]
    return Pool(service, min(usable, key=estimate_cost_ms), count)
