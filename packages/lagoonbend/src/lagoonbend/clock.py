"""Clocks, including one that tests advance by hand."""

from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.clock import PausedClock
from lagoonbend._internal.utils.clock import RuntimeClock

__all__ = ['Clock', 'PausedClock', 'RuntimeClock']
