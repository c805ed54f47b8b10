"""Divides the targets of a large service among several schedulers.

A pool is named ``SERVICE#INDEX/COUNT``. Each target belongs to one pool, and
all instances that know the same targets agree on which.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.scheduling.prompt_part import PromptPart
from lagoonbend._internal.utils.rendezvous import score_candidate

PLACES_A_POOL = 120
"""Places that one scheduler gives; at the sheets' rates an instance of half
a core spends a tenth of it on that."""
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


def find_part(target: str, count: int) -> int:
    """Return the part that a target belongs to, of ``count`` parts."""
    return max(
        range(count), key=lambda index: score_candidate(str(index), target)
    )


def count_parts(targets: Sequence[ListedTarget]) -> int:
    """Return the number of pools that a service is divided into."""
    places = sum(target.slots for target in targets)
    return max(1, math.ceil(places / PLACES_A_POOL))


def choose_pool(
    service: str,
    targets: Sequence[ListedTarget],
    prompt: Sequence[PromptPart],
    call: str,
) -> Pool:
    """Return the pool of a call, in proportion to the pools' places.

    Calls of one session go to the same pool, where their prompt is kept.
    """
    count = count_parts(targets)
    if count == 1:
        return Pool(service, 0, 1)
    places = [0] * count
    for target in targets:
        places[find_part(target.target, count)] += target.slots
    key = prompt[-1].part if prompt else call

    def weigh(index: int) -> float:
        fraction = (score_candidate(str(index), key) + 1) / (HASH_RANGE + 2)
        return -places[index] / math.log(fraction)

    return Pool(service, max(range(count), key=weigh), count)
