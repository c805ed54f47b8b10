"""Coordinator that grants nothing and knows no trouble."""

from unittest import mock

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import NamedLimits
from lagoonbend_entry._internal.coordination import crash_exchange


def build_mock_coordinator() -> mock.Mock:
    """Return a mock with no evidence against prompts, and no limits."""
    clock = RuntimeClock()
    coordinator = mock.Mock()
    coordinator.crashes = crash_exchange.CrashExchange(
        clock, list, bool, mock.Mock()
    )
    coordinator.named_limits = NamedLimits(clock)
    return coordinator
