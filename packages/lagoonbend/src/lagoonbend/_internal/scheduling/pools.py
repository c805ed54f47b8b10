"""Divides the targets of a large service among several schedulers.

A service of one pool has targets of all failure domains in it. Those of a
larger one are divided by domain first, so that calls and decisions stay in
their domain, and then into parts. Each target belongs to one pool, and all
instances that know the same targets agree on which.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import math
from typing import NamedTuple
import urllib.parse

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.utils.rendezvous import score_candidate

PLACES_A_POOL = 65
"""Places that one scheduler gives, within a factor of 1.4; at the sheets'
rates an instance of half a core spends a tenth of it on that."""
NEWS_HALF_LIFE_MS = 500
"""Time in which the news of a wait loses half of its weight."""
PARTS_KEPT = 4_096
"""Targets whose part is remembered, since each call asks for all of a
service."""


class Pool(NamedTuple):
    """A part of a service's targets.

    :param service: the service.
    :param domain: failure domain of the targets; empty for all domains.
    :param part: number of the part within the domain, from 0.
    :param parts: number of parts of the domain.
    """

    service: str
    domain: str = ''
    part: int = 0
    parts: int = 1

    @property
    def name(self) -> str:
        """Name that travels between instances."""
        domain = urllib.parse.quote(self.domain, safe='')
        return f'{self.service}#{domain}#{self.part}/{self.parts}'

    @classmethod
    def parse(cls, name: str) -> 'Pool':
        """Return the pool with a name; a bare service is one pool."""
        rest, _, part = name.rpartition('#')
        service, _, domain = rest.rpartition('#')
        index, _, count = part.partition('/')
        if not service or not index.isdecimal() or not count.isdecimal():
            return cls(name)
        domain = urllib.parse.unquote(domain)
        return cls(service, domain, int(index), int(count))

    def select(
        self, targets: Iterable[ListedTarget]
    ) -> tuple[ListedTarget, ...]:
        """Return the targets of this pool."""
        return tuple(
            target
            for target in targets
            if self.domain in ('', target.failure_domain)
            and (
                self.parts <= 1
                or find_part(target.target, self.parts) == self.part
            )
        )


@functools.lru_cache(PARTS_KEPT)
def find_part(target: str, count: int) -> int:
    """Return the part that a target belongs to, of ``count`` parts."""
    return max(
        range(count), key=lambda index: score_candidate(str(index), target)
    )


def count_parts(targets: Sequence[ListedTarget]) -> int:
    """Return the number of parts that targets are divided into.

    A power of two, so that it stays when some targets come or go.
    """
    places = sum(target.slots for target in targets)
    if places <= PLACES_A_POOL:
        return 1
    return int(2 ** round(math.log2(places / PLACES_A_POOL)))


class PoolWaitTimes:
    """What decisions have told of the waits in pools."""

    def __init__(self) -> None:
        self._waits: dict[str, tuple[int, int]] = {}

    def record_wait(self, pool: str, wait_ms: int, now_ms: int) -> None:
        """Take in the expected wait in a pool."""
        self._waits[pool] = (wait_ms, now_ms)

    def estimate_wait_ms(self, pool: str, now_ms: int) -> float:
        """Return the expected wait, which fades as the news ages."""
        wait_ms, noted_ms = self._waits.get(pool, (0, now_ms))
        age_ms = max(0, now_ms - noted_ms)
        return float(wait_ms) * 0.5 ** (age_ms / NEWS_HALF_LIFE_MS)
