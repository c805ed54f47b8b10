"""What follows from the evidence against a carrier."""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonbend._internal.crashes.carrier_kind import CarrierKind


class CrashVerdict(NamedTuple):
    """Whether a carrier is limited or blocked.

    :param limited_since_ms: moment since which it is sent one call at a time
        at most; None if it isn't limited.
    :param is_blocked: True if trials are due at intervals only.
    :param moment_weights: number of ends that count at each moment.
    """

    limited_since_ms: int | None
    is_blocked: bool
    moment_weights: tuple[int, ...]

    @classmethod
    def from_moments(
        cls, kind: CarrierKind, moments: Iterable[tuple[int, int]]
    ) -> 'CrashVerdict':
        """Return the verdict on moments in their order.

        :param kind: how much evidence limits and blocks the carrier.
        :param moments: time and weight of each moment.
        """
        limited_since_ms: int | None = None
        is_blocked = False
        weights: list[int] = []
        for began_ms, weight in moments:
            weights.append(weight)
            end_count = sum(weights)
            is_blocked = len(weights) >= kind.moment_count or (
                end_count >= kind.repeat_count
                and len(weights) >= kind.repeat_moment_count
            )
            is_limited = is_blocked or end_count >= kind.single_count
            if is_limited and limited_since_ms is None:
                limited_since_ms = began_ms
        return cls(limited_since_ms, is_blocked, tuple(weights))
