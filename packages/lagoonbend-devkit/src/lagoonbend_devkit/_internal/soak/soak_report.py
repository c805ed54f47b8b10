"""What a soak has shown."""

from typing import NamedTuple

from lagoonbend_devkit._internal.soak.soak_checks import BrokenPromise


class SoakReport(NamedTuple):
    """What a soak has shown.

    :param seed: decides faults and requests.
    :param statuses: number of answers by status; 0 for none.
    :param faults: number of faults by kind.
    :param broken: promises that were broken.
    """

    seed: int
    statuses: dict[int, int]
    faults: dict[str, int]
    broken: list[BrokenPromise]
