"""The pools of a service, and which of them a call goes to."""

from collections.abc import Sequence
import math
from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.scheduling.pools import count_parts
from lagoonbend._internal.scheduling.pools import Pool
from lagoonbend._internal.scheduling.pools import PoolWaitTimes
from lagoonbend._internal.utils.rendezvous import score_candidate

AWAY_MS = 60.0
"""Wait that a call accepts in its own pool before it goes to another."""
HASH_RANGE = float(2**64)


class CallOrigin(NamedTuple):
    """What decides which pool a call goes to.

    :param key: session, or identity of the call; calls with one key go to
        one pool, where their prompt is kept.
    :param failure_domain: domain of the instance that carries the call.
    :param unreachable_domains: domains of which no instance is heard.
    :param tried: names of the pools that have refused the call.
    """

    key: str
    failure_domain: str
    unreachable_domains: frozenset[str] = frozenset()
    tried: tuple[str, ...] = ()


class PoolPlan:
    """The pools of a service as its targets are listed now.

    :param service: the service.
    :param targets: its targets.
    """

    def __init__(self, service: str, targets: Sequence[ListedTarget]) -> None:
        self._service = service
        self._places: dict[Pool, int] = {}
        if count_parts(targets) > 1:
            self._divide(targets)

    @property
    def pools(self) -> tuple[Pool, ...]:
        """All pools that have targets, or the one of a small service."""
        return tuple(self._places) or (Pool(self._service),)

    def choose(
        self, origin: CallOrigin, loads: PoolWaitTimes, now_ms: int
    ) -> Pool | None:
        """Return the pool of a call; None if all have refused it.

        Calls stay in their failure domain as far as its places are its
        share of all, and are spread over the others in proportion beyond
        that. A call leaves its pool when the wait there is longer than it
        would be elsewhere.
        """
        left = [pool for pool in self.pools if pool.name not in origin.tried]
        heard = [
            pool
            for pool in left
            if pool.domain not in origin.unreachable_domains
        ]
        usable = heard or left
        if not usable:
            return None
        home = self._find_home(usable, origin)

        def estimate_cost_ms(pool: Pool) -> float:
            wait_ms = loads.estimate_wait_ms(pool.name, now_ms)
            return wait_ms + (0.0 if pool == home else AWAY_MS)

        return min(usable, key=estimate_cost_ms)

    def _divide(self, targets: Sequence[ListedTarget]) -> None:
        for domain in sorted({target.failure_domain for target in targets}):
            near = [t for t in targets if t.failure_domain == domain]
            parts = count_parts(near)
            for part in range(parts):
                pool = Pool(self._service, domain, part, parts)
                places = sum(t.slots for t in pool.select(near))
                if places:
                    self._places[pool] = places

    def _find_home(self, usable: Sequence[Pool], origin: CallOrigin) -> Pool:
        near = [p for p in usable if p.domain == origin.failure_domain]
        if not near or len(near) == len(usable):
            return self._draw(usable, origin.key)
        total = sum(self._places[pool] for pool in usable)
        own = sum(self._places[pool] for pool in near)
        domains = len({pool.domain for pool in usable})
        if _hash_fraction('near', origin.key) < own * domains / total:
            return self._draw(near, origin.key)
        return self._draw([p for p in usable if p not in near], origin.key)

    def _draw(self, pools: Sequence[Pool], key: str) -> Pool:
        """Return a pool by its places, always the same for a key."""

        def weigh(pool: Pool) -> float:
            fraction = _hash_fraction(pool.name, key)
            return -self._places.get(pool, 1) / math.log(fraction)

        return max(pools, key=weigh)


def _hash_fraction(candidate: str, key: str) -> float:
    """Return a number between 0 and 1 that depends on both alone."""
    return (score_candidate(candidate, key) + 1) / (HASH_RANGE + 2)
