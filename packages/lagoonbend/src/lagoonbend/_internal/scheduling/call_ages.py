"""Ways to tell for how long the caller of a new call has waited."""

from collections.abc import Callable
from typing import Protocol


class CallAge(Protocol):
    """Estimates the time since the first send of a call."""

    def estimate_waited_ms(self, route: str, deadline_ms: int | None) -> int:
        """Return for how long the caller had waited when it sent the call.

        :param route: name of the route.
        :param deadline_ms: time that the caller still waits; None if it
            didn't say.
        """


CALL_AGES: dict[str, Callable[[], CallAge]] = {}


def register_call_age(
    name: str,
) -> Callable[[Callable[[], CallAge]], Callable[[], CallAge]]:
    """Register a way under its name in the settings."""

    def register(build: Callable[[], CallAge]) -> Callable[[], CallAge]:
        CALL_AGES[name] = build
        return build

    return register


@register_call_age('receipt')
class ReceiptAge:
    """Counts each call from its receipt, also one that is sent again."""

    def estimate_waited_ms(self, route: str, deadline_ms: int | None) -> int:
        """Return 0."""
        return 0
