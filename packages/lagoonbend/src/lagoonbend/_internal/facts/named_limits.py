"""The limits that targets have named."""

from collections.abc import Iterator

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.named_limit import NamedLimit
from lagoonbend._internal.utils.clock import Clock

MIN_LIFETIME_MS = 10_000
"""Time after which a limit ends that no answer has confirmed. All answers of
the target name it, so that it is confirmed by each call that it allows."""
REQUESTS_PER_LIFETIME = 3.0
"""Requests that a low limit must allow until then."""
MIN_RATE_PER_S = 0.1
"""Rate at which a target is asked that allows none: otherwise no answer could
tell that its limit has ended."""
MAX_LIMITS = 4_096
"""Limits kept at most, the oldest of which are dropped; several times the 600
targets of the largest fleet."""


class NamedLimits:
    """Keeps the newest statement of each target, for one life of it.

    An answer without a limit ends one only if its request was sent after the
    limit was named: answers on several connections arrive in any order.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, NamedLimit] = {}

    def __bool__(self) -> bool:
        return bool(self._limits)

    def record(self, limit: NamedLimit) -> bool:
        """Record a statement; return False if it changes nothing.

        One that has no limit to end, or is older than the known one, changes
        nothing.
        """
        name = limit.target.target
        known = self._limits.get(name)
        if known is not None and not limit.target.is_same_life(known.target):
            known = None
        if known is None and limit.says_nothing:
            return False
        if known is not None and limit.stated_ms <= known.stated_ms:
            return False
        self._limits.pop(name, None)
        self._limits[name] = limit
        while len(self._limits) > MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
        return True

    def find_rate_per_s(self, listed: ListedTarget) -> float | None:
        """Return the rate at which a target may be asked; None for no limit.

        :param listed: target as listed now.
        """
        known = self._limits.get(listed.target)
        if (
            known is None
            or known.rate_per_s is None
            or not listed.is_same_life(known.target)
        ):
            return None
        rate_per_s = max(known.rate_per_s, MIN_RATE_PER_S)
        lifetime_ms = max(
            MIN_LIFETIME_MS, REQUESTS_PER_LIFETIME / rate_per_s * 1_000
        )
        if self._clock.now_ms() - known.stated_ms >= lifetime_ms:
            return None
        return rate_per_s

    def is_brittle(self, listed: ListedTarget) -> bool:
        """Return True if a target falls over under too many rejections.

        :param listed: target as listed now.
        """
        known = self._limits.get(listed.target)
        return (
            known is not None
            and known.rejection_limit_per_s is not None
            and listed.is_same_life(known.target)
            and self._clock.now_ms() - known.stated_ms < MIN_LIFETIME_MS
        )

    def find(self, name: str) -> NamedLimit | None:
        """Return the newest statement of a target, also of an ended limit."""
        return self._limits.get(name)

    def list_all(self) -> Iterator[NamedLimit]:
        """Yield the newest statement of each target."""
        yield from self._limits.values()
