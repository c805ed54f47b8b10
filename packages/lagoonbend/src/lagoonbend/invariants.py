"""Invariants that are asserted in the running code."""

from lagoonbend._internal.utils.invariants import Invariants

__all__ = ['Invariants']
