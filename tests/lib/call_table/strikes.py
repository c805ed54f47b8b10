"""Disturbances that strike at a step: planned work on an instance."""

from collections.abc import Callable
import signal
from typing import NamedTuple

from tests.lib.call_table.table_configuration import TableConfiguration
from tests.lib.call_table.table_fleet import DRAIN_BEGUN
from tests.lib.call_table.table_fleet import RELOADED
from tests.lib.call_table.table_fleet import TableFleet

LOWER_RATE = 'rate lowered'
RELOAD = 'SIGHUP'
STOP = 'SIGTERM'

Apply = Callable[[TableFleet, TableConfiguration], None]


class Strike(NamedTuple):
    """A disturbance.

    :param name: name in the table.
    :param apply: applies it.
    :param wait: waits until the instance has noticed it.
    """

    name: str
    apply: Apply
    wait: Callable[[TableFleet], None]


STRIKES: dict[str, Strike] = {}


def _add_strike(
    name: str, wait: Callable[[TableFleet], None]
) -> Callable[[Apply], Apply]:
    def register(apply: Apply) -> Apply:
        STRIKES[name] = Strike(name, apply, wait)
        return apply

    return register


@_add_strike('time-out changed', TableFleet.wait_version)
def change_timeout(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Shorten the time-out of all routes."""
    configuration.timeout_ms = 15_000
    fleet.publish_configuration()


@_add_strike('limits changed', TableFleet.wait_version)
def change_limits(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Change the idle time-out and the largest body."""
    configuration.idle_timeout_ms = 1_000
    configuration.body_bytes = 50_000
    fleet.publish_configuration()


@_add_strike('route moved', TableFleet.wait_version)
def move_routes(fleet: TableFleet, configuration: TableConfiguration) -> None:
    """Move all routes to another service."""
    configuration.is_moved = True
    fleet.publish_configuration()


@_add_strike('route removed', TableFleet.wait_version)
def remove_routes(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Remove all routes; their services stay."""
    configuration.has_routes = False
    fleet.publish_configuration()


@_add_strike('key removed', TableFleet.wait_version)
def remove_key(fleet: TableFleet, configuration: TableConfiguration) -> None:
    """Remove the customer's key."""
    configuration.has_key = False
    fleet.publish_configuration()


@_add_strike(LOWER_RATE, TableFleet.wait_version)
def lower_rate(fleet: TableFleet, configuration: TableConfiguration) -> None:
    """Lower the customer's rate to one request per second."""
    configuration.rate_per_s = 1
    fleet.publish_configuration()


@_add_strike('service removed', TableFleet.wait_version)
def remove_services(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Remove the services; their routes lead to another one."""
    configuration.has_services = False
    fleet.publish_configuration()


@_add_strike(RELOAD, lambda fleet: fleet.wait_logged(RELOADED))
def reload_settings(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Change the settings file and send SIGHUP."""
    fleet.change_settings()
    fleet.processes[0].send(signal.SIGHUP)


@_add_strike(STOP, lambda fleet: fleet.wait_logged(DRAIN_BEGUN))
def stop_instance(
    fleet: TableFleet, configuration: TableConfiguration
) -> None:
    """Send SIGTERM."""
    fleet.stop_first()
