"""A period during which a failure domain was evacuated."""

from typing import NamedTuple


class EvacuatedPeriod(NamedTuple):
    """An evacuation of the targets of a failure domain.

    :param domain: name of the failure domain.
    :param targets: names of its targets.
    :param start_s: time after the item was written, on the monotonic clock.
    :param end_s: time before the item was removed, on the monotonic clock.
    """

    domain: str
    targets: frozenset[str]
    start_s: float
    end_s: float
