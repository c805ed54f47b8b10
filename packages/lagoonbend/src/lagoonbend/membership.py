"""The instances and targets of the fleet, with the age of the list."""

from lagoonbend._internal.membership.fleet_view import FleetView
from lagoonbend._internal.models.fleet_list import FleetList
from lagoonbend._internal.models.peer import Peer
from lagoonbend._internal.models.target import Target
from lagoonbend._internal.utils.rendezvous import choose_by_rendezvous

__all__ = ['FleetList', 'FleetView', 'Peer', 'Target', 'choose_by_rendezvous']
