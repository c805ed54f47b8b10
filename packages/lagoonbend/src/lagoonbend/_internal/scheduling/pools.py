"""Divides the targets of a large service among several schedulers.

A service with few slots is one pool with targets of all failure domains. The
targets of a larger service are divided by failure domain first, so that calls
and scheduling stay within a domain, and then into shards. Each target belongs
to one pool. All instances that know the same targets compute the same pools.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import math
from typing import NamedTuple
import urllib.parse

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.utils.rendezvous import score_candidate

SLOTS_PER_POOL = 65
"""Slots that one scheduler manages, within a factor of 1.4. At the request
rates of the users' services, that takes a tenth of the time of an instance
with half a core."""
WAIT_HALF_LIFE_MS = 500
"""Half-life of the expected wait that was reported for a pool."""
SHARD_CACHE_SIZE = 4_096
"""Number of targets whose shard is cached: choosing the pool of a call
needs the shards of all targets of the service."""


class Pool(NamedTuple):
    """A set of targets of a service that one scheduler manages.

    :param service: name of the service.
    :param domain: failure domain of the targets; empty for all domains.
    :param shard: index of the shard within the domain.
    :param shard_count: number of shards of the domain.
    """

    service: str
    domain: str = ''
    shard: int = 0
    shard_count: int = 1

    @property
    def name(self) -> str:
        """Name that instances use for the pool in messages."""
        domain = urllib.parse.quote(self.domain, safe='')
        return f'{self.service}#{domain}#{self.shard}/{self.shard_count}'

    @classmethod
    def parse(cls, name: str) -> 'Pool':
        """Return the pool with a name; a plain service name is one pool."""
        rest, _, shard = name.rpartition('#')
        service, _, domain = rest.rpartition('#')
        index, _, count = shard.partition('/')
        if not service or not index.isdecimal() or not count.isdecimal():
            return cls(name)
        domain = urllib.parse.unquote(domain)
        return cls(service, domain, int(index), int(count))

    def select(
        self, targets: Iterable[ListedTarget]
    ) -> tuple[ListedTarget, ...]:
        """Return the targets that belong to this pool."""
        return tuple(
            target
            for target in targets
            if self.domain in ('', target.failure_domain)
            and (
                self.shard_count <= 1
                or find_shard(target.target, self.shard_count) == self.shard
            )
        )


@functools.lru_cache(SHARD_CACHE_SIZE)
def find_shard(target: str, count: int) -> int:
    """Return the shard of a target, by rendezvous hashing.

    :param count: number of shards.
    """
    return max(
        range(count), key=lambda index: score_candidate(str(index), target)
    )


def count_shards(targets: Sequence[ListedTarget]) -> int:
    """Return the number of shards for a list of targets.

    It is a power of two, so that it stays the same when a few targets are
    added or removed.
    """
    slot_count = sum(target.slots for target in targets)
    if slot_count <= SLOTS_PER_POOL:
        return 1
    return int(2 ** round(math.log2(slot_count / SLOTS_PER_POOL)))


class PoolWaitTimes:
    """Expected wait of each pool, as reported with the decisions."""

    def __init__(self) -> None:
        self._waits: dict[str, tuple[int, int]] = {}

    def record_wait(self, pool: str, wait_ms: int, now_ms: int) -> None:
        """Record the expected wait in a pool."""
        self._waits[pool] = (wait_ms, now_ms)

    def estimate_wait_ms(self, pool: str, now_ms: int) -> float:
        """Return the expected wait, decayed by the age of its report."""
        wait_ms, reported_ms = self._waits.get(pool, (0, now_ms))
        age_ms = max(0, now_ms - reported_ms)
        return float(wait_ms) * 0.5 ** (age_ms / WAIT_HALF_LIFE_MS)
