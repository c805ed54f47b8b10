"""Result of a soak."""

from typing import NamedTuple

from lagoonbend_devkit._internal.soak.soak_checks import GuaranteeViolation
from lagoonbend_devkit._internal.soak.stream_shares import StreamShares


class SoakReport(NamedTuple):
    """Result of a soak.

    :param seed: seed of the faults and requests.
    :param statuses: number of calls by HTTP status; status 0 stands for no
        whole answer.
    :param faults: number of injected faults, by name.
    :param excuses: number of calls without a whole answer, by their excuse.
    :param restart_count: number of processes that ended while they started,
        and were started again.
    :param shares: numbers of new and taken-up streams.
    :param violations: guarantees that did not hold.
    """

    seed: int
    statuses: dict[int, int]
    faults: dict[str, int]
    excuses: dict[str, int]
    restart_count: int
    shares: StreamShares
    violations: list[GuaranteeViolation]
