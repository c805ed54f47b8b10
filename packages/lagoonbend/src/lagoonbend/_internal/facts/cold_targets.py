"""Targets that are cold, and the calls that they bear meanwhile."""

from collections.abc import Iterable

from lagoonbend._internal.facts.cold_tolerance import ColdTolerance
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.utils.clock import Clock


class _ColdPeriod:
    """What is known of one life of a target.

    :param target: target as listed.
    :param heard_ms: when this instance heard of it.
    :param cold_ms: time for which it is cold from then on; None for the time
        for which a target of its service is cold after its start.

    ``returned_ms`` is when its failure domain was used again after an
    evacuation; None if that was before the last registration, or never.
    """

    def __init__(
        self, target: ListedTarget, heard_ms: int, cold_ms: int | None
    ) -> None:
        self.target = target
        self.heard_ms = heard_ms
        self.cold_ms = cold_ms
        self.returned_ms: int | None = None

    def find_end_ms(self, cold_start_ms: int) -> int:
        """Return when the target is warm.

        :param cold_start_ms: time for which a target of its service is cold
            after its start.
        """
        cold_ms = cold_start_ms if self.cold_ms is None else self.cold_ms
        end_ms = self.heard_ms + cold_ms
        if self.returned_ms is None:
            return end_ms
        return max(end_ms, self.returned_ms + cold_start_ms)


class ColdTargets:
    """Keeps for each target until when it is cold, by this instance's clock.

    The time counts from when the instance heard of it, which is later than
    when the target said so. A life that begins without saying how long it is
    cold counts as cold for the time that the configuration gives, and so do
    the targets of a failure domain that is used again after an evacuation:
    they may have become cold shortly before.

    :param clock: clock of the instance.
    :param tolerance: how exactly the rate of a cold target must be kept.
    """

    def __init__(self, clock: Clock, tolerance: ColdTolerance) -> None:
        self.tolerance = tolerance
        self._clock = clock
        self._periods: dict[str, _ColdPeriod] = {}

    def record(
        self, target: ListedTarget, *, is_known: bool, is_first: bool
    ) -> None:
        """Record the registration of a target.

        :param is_known: True if the same life was listed before.
        :param is_first: True for the first list that the instance reads:
            targets in it may have started long ago.
        """
        is_told = target.cold_ms is not None
        if not is_told and (is_known or is_first):
            return
        self._periods[target.target] = _ColdPeriod(
            target, self._clock.now_ms(), target.cold_ms
        )

    def record_returned(self, targets: Iterable[ListedTarget]) -> None:
        """Record that targets are used again after an evacuation."""
        now_ms = self._clock.now_ms()
        for target in targets:
            period = self._periods.get(target.target)
            if period is None or not target.is_same_life(period.target):
                period = _ColdPeriod(target, now_ms, 0)
                self._periods[target.target] = period
            period.returned_ms = now_ms

    def forget(self, name: str) -> None:
        """Forget a target that is gone."""
        self._periods.pop(name, None)

    def find_left_ms(
        self, listed: ListedTarget, profile: ServiceProfile
    ) -> int:
        """Return for how long a target is still cold; 0 if it isn't.

        :param listed: target as listed now.
        :param profile: its service. None of its targets counts as cold if the
            service bounds the calls to cold targets at no rate.
        """
        if not profile.cold_rate_per_s:
            return 0
        period = self._periods.get(listed.target)
        if period is None or not listed.is_same_life(period.target):
            return 0
        end_ms = period.find_end_ms(profile.cold_start_ms)
        return max(0, end_ms - self._clock.now_ms())

    def count(
        self, targets: Iterable[ListedTarget], profile: ServiceProfile
    ) -> int:
        """Return how many targets of a service are cold."""
        return sum(
            self.find_left_ms(target, profile) > 0 for target in targets
        )
