"""Simulated fleets that interleave faults with the real decision code."""

from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.world_core import ViolationError
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes

__all__ = [
    'ClaimWorld',
    'ComponentTypes',
    'ViolationError',
    'WorldTimes',
]
