"""Registry of policies that choose a target."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Protocol

from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


class Policy(Protocol):
    """Chooses one of several targets that can serve a request.

    ``uses_reserve`` is True if some engines (targets that run a model) are
    reserved for the most urgent tier of calls. Calls of other tiers may then
    also wait for the target that has the prefix of their prompt cached.
    """

    uses_reserve: bool

    def choose(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState:
        """Return one of the candidates, of which there is at least one."""

    def find_cached_target(
        self,
        candidates: Sequence[TargetState],
        work: WorkEstimate,
        now_ms: int,
    ) -> TargetState | None:
        """Return the best target that has the prefix cached, if any."""


PolicyFactory = Callable[[random.Random], Policy]
POLICIES: dict[str, PolicyFactory] = {}
"""Registered policies by name."""


def register_policy(
    name: str,
) -> Callable[[type[Policy]], type[Policy]]:
    """Register a policy class under ``name``."""

    def decorate(cls: type[Policy]) -> type[Policy]:
        POLICIES[name] = cls
        return cls

    return decorate
