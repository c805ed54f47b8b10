"""Clocks, among them one that tests pause and advance."""

from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.clock import PausedClock
from lagoonbend._internal.utils.clock import RuntimeClock

__all__ = ['Clock', 'PausedClock', 'RuntimeClock']
