"""Runs a small fleet of real processes, for tests and demonstrations."""

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet
from lagoonbend_devkit._internal.fleet.ports import find_free_ports

__all__ = ['Answer', 'LocalFleet', 'exchange', 'find_free_ports']
