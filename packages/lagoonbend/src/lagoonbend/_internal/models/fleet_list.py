"""The list of instances and targets."""

from typing import NamedTuple

from lagoonbend._internal.models.peer import Peer
from lagoonbend._internal.models.target import Target


class FleetList(NamedTuple):
    """The platform's list, as read at one time.

    :param revision: increases with each publication.
    :param peers: instances of this daemon.
    :param targets: model engines and plain services.
    """

    revision: int
    peers: tuple[Peer, ...]
    targets: tuple[Target, ...]
