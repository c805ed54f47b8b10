"""Seeded simulations that interleave faults with the production code."""

from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.part_types import PartTypes
from lagoonbend_devkit._internal.worlds.world_core import WorldError
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes

__all__ = ['ClaimWorld', 'PartTypes', 'WorldError', 'WorldTimes']
