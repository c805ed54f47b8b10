"""Workloads that resemble those of two users of the scheduler."""

from typing import NamedTuple

from lagoonbend_devkit._internal.model.request_kind import RequestKind
from lagoonbend_devkit._internal.standins.engine_core import EngineSpeed

# Step in ms, tokens per step, prefixes in the cache.
OLD_ENGINE = EngineSpeed(45, 384, 8)
MIDDLE_ENGINE = EngineSpeed(30, 512, 8)
NEW_ENGINE = EngineSpeed(20, 512, 8)


class Workload(NamedTuple):
    """Requests, engines and instances of one deployment.

    :param name: name of the deployment.
    :param kinds: kinds of requests.
    :param speeds: speeds of the engines.
    :param instance_count: number of entry instances.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    speeds: tuple[EngineSpeed, ...]
    instance_count: int

    @property
    def capacity_per_s(self) -> float:
        """Tokens that all engines together compute per second."""
        return sum(s.step_tokens * 1000 / s.step_ms for s in self.speeds)

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of a request over all kinds."""
        return sum(kind.share * kind.mean_tokens for kind in self.kinds)


OFFICE = Workload(
    'office',
    (
        RequestKind(
            'flag', 0, 0.85, 2_500, (120, 360), (15, 30), 100, 6, False
        ),
        RequestKind(
            'summary',
            2,
            0.15,
            60_000,
            (8_000, 24_000),
            (150, 300),
            6_000,
            60,
            True,
        ),
    ),
    (OLD_ENGINE,) * 3 + (MIDDLE_ENGINE,) * 4 + (NEW_ENGINE,) * 3,
    7,
)
LAKESHORE = Workload(
    'lakeshore',
    (
        RequestKind(
            'question', 0, 0.8, 3_000, (200, 800), (20, 45), 150, 6, False
        ),
        RequestKind(
            'draft',
            2,
            0.2,
            60_000,
            (3_000, 12_000),
            (150, 400),
            2_500,
            40,
            True,
        ),
    ),
    (OLD_ENGINE,) * 2 + (MIDDLE_ENGINE,) * 2 + (NEW_ENGINE,) * 2,
    6,
)
WORKLOADS = {item.name: item for item in (OFFICE, LAKESHORE)}
