"""Ways to choose a target for a call whose prompt may be cached."""

from collections.abc import Callable
from typing import Protocol

from lagoonbend._internal.scheduling.demand import Demand
from lagoonbend._internal.scheduling.kept_prompt_totals import KeptPromptTotals
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.scheduling.target_set import TargetSet


class KeptPrompts(Protocol):
    """Chooses the targets of the calls of one pool."""

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a certain target."""

    def choose(
        self,
        request: SlotRequest,
        latest_start_ms: int,
        queued_count: int,
        now_ms: int,
    ) -> TargetLoad | None:
        """Return the target at which a call starts now.

        :param latest_start_ms: latest start with which the call meets its
            objective.
        :param queued_count: calls in the queue of the pool.
        :returns: None if the call waits, for any slot or a certain target.
        """

    def is_waiting(self, request: SlotRequest) -> bool:
        """Return True if a call waits for a certain target."""

    def forget(self, request: SlotRequest) -> None:
        """Forget a call that has left the queue."""


KeptPromptsBuilder = Callable[
    [TargetSet, Demand, KeptPromptTotals], KeptPrompts
]
KEPT_PROMPTS: dict[str, KeptPromptsBuilder] = {}


def register_kept_prompts(
    name: str,
) -> Callable[[KeptPromptsBuilder], KeptPromptsBuilder]:
    """Register a way under its name in the settings."""

    def register(build: KeptPromptsBuilder) -> KeptPromptsBuilder:
        KEPT_PROMPTS[name] = build
        return build

    return register


@register_kept_prompts('off')
class FreeTargets:
    """Chooses only among targets with a free slot.

    :param targets: targets of the pool.
    :param demand: hold times of the pool's calls; not used.
    :param totals: counts of waits; not used.
    """

    waiting_count = 0

    def __init__(
        self, targets: TargetSet, demand: Demand, totals: KeptPromptTotals
    ) -> None:
        self._targets = targets

    def choose(
        self,
        request: SlotRequest,
        latest_start_ms: int,
        queued_count: int,
        now_ms: int,
    ) -> TargetLoad | None:
        """Return the free target with the lowest cost."""
        return self._targets.choose(request, now_ms)

    def is_waiting(self, request: SlotRequest) -> bool:
        """Return False."""
        return False

    def forget(self, request: SlotRequest) -> None:
        """Do nothing."""
