"""Invariants that are checked at run time."""

from lagoonbend._internal.utils.invariants import Invariants

__all__ = ['Invariants']
