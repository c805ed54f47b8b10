"""Divides a service into target pools and chooses the pool of a call."""

from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
import math
from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.scheduling.pools import count_shards
from lagoonbend._internal.scheduling.pools import Pool
from lagoonbend._internal.scheduling.pools import PoolWaitTimes
from lagoonbend._internal.utils.rendezvous import score_candidate

OTHER_POOL_PENALTY_MS = 60.0
"""Extra wait that a call accepts in its home pool before it goes to
another."""
HASH_RANGE = float(2**64)


class CallOrigin(NamedTuple):
    """What determines the pool of a call.

    :param key: identity of the session or call. Calls with equal keys go to
        the same pool, where their prompt is cached.
    :param failure_domain: failure domain of the instance that handles the
        call.
    :param unreachable_domains: failure domains without a reachable instance.
    :param tried: names of the pools that have denied the call a slot.
    """

    key: str
    failure_domain: str
    unreachable_domains: frozenset[str] = frozenset()
    tried: tuple[str, ...] = ()


class PoolPlan:
    """The pools of a service, according to the current list of targets.

    :param service: name of the service.
    :param targets: targets of the service.
    """

    def __init__(self, service: str, targets: Sequence[ListedTarget]) -> None:
        self._service = service
        self._slot_counts: dict[Pool, int] = {}
        self._target_names: dict[Pool, frozenset[str]] = {}
        if count_shards(targets) > 1:
            self._divide(targets)
        else:
            self._target_names[Pool(service)] = _collect_names(targets)

    @property
    def pools(self) -> tuple[Pool, ...]:
        """All pools that have targets, or the only one of a small service."""
        return tuple(self._slot_counts) or (Pool(self._service),)

    def list_unusable(self, excluded: AbstractSet[str]) -> list[Pool]:
        """Return the pools of which all targets are excluded."""
        return [
            pool
            for pool, names in self._target_names.items()
            if names <= excluded
        ]

    def choose(
        self, origin: CallOrigin, wait_times: PoolWaitTimes, now_ms: int
    ) -> Pool | None:
        """Return the pool of a call; None if all pools have denied it.

        A failure domain keeps its calls if it has at least the average number
        of slots of a domain. A smaller one keeps a proportional part of them,
        and the rest goes to the other domains in proportion to their slots. A
        call leaves its home pool if the expected wait there exceeds that in
        another pool by more than ``OTHER_POOL_PENALTY_MS``.
        """
        usable = self._list_usable(origin)
        if not usable:
            return None
        home_pool = self._find_home_pool(usable, origin)

        def estimate_cost_ms(pool: Pool) -> float:
            wait_ms = wait_times.estimate_wait_ms(pool.name, now_ms)
            return wait_ms + (
                0.0 if pool == home_pool else OTHER_POOL_PENALTY_MS
            )

        return min(usable, key=estimate_cost_ms)

    def find_home(self, origin: CallOrigin) -> Pool | None:
        """Return the pool that a call leaves only for a shorter wait."""
        usable = self._list_usable(origin)
        return self._find_home_pool(usable, origin) if usable else None

    def _list_usable(self, origin: CallOrigin) -> list[Pool]:
        """Return the pools that have not denied a call.

        Of these, unreachable ones count only if all are.
        """
        untried = [
            pool for pool in self.pools if pool.name not in origin.tried
        ]
        reachable = [
            pool
            for pool in untried
            if pool.domain not in origin.unreachable_domains
        ]
        return reachable or untried

    def _divide(self, targets: Sequence[ListedTarget]) -> None:
        for domain in sorted({target.failure_domain for target in targets}):
            local = [t for t in targets if t.failure_domain == domain]
            shard_count = count_shards(local)
            for shard in range(shard_count):
                pool = Pool(self._service, domain, shard, shard_count)
                selected = pool.select(local)
                slot_count = sum(target.slots for target in selected)
                if slot_count:
                    self._slot_counts[pool] = slot_count
                    self._target_names[pool] = _collect_names(selected)

    def _find_home_pool(
        self, usable: Sequence[Pool], origin: CallOrigin
    ) -> Pool:
        local = [
            pool for pool in usable if pool.domain == origin.failure_domain
        ]
        if not local or len(local) == len(usable):
            return self._choose_weighted(usable, origin.key)
        total_slots = sum(self._slot_counts[pool] for pool in usable)
        local_slots = sum(self._slot_counts[pool] for pool in local)
        domain_count = len({pool.domain for pool in usable})
        if (
            _hash_fraction('near', origin.key)
            < local_slots * domain_count / total_slots
        ):
            return self._choose_weighted(local, origin.key)
        return self._choose_weighted(
            [pool for pool in usable if pool not in local], origin.key
        )

    def _choose_weighted(self, pools: Sequence[Pool], key: str) -> Pool:
        """Return a pool chosen by weighted rendezvous hashing.

        The weight of a pool is the number of its slots. A key always maps to
        the same pool.
        """

        def score(pool: Pool) -> float:
            fraction = _hash_fraction(pool.name, key)
            return -self._slot_counts.get(pool, 1) / math.log(fraction)

        return max(pools, key=score)


def _collect_names(targets: Iterable[ListedTarget]) -> frozenset[str]:
    return frozenset(target.target for target in targets)


def _hash_fraction(candidate: str, key: str) -> float:
    """Return a number between 0 and 1 that depends only on the arguments."""
    return (score_candidate(candidate, key) + 1) / (HASH_RANGE + 2)
