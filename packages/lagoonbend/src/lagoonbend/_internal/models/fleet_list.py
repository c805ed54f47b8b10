"""The list of instances and targets."""

from typing import NamedTuple

from lagoonbend._internal.models.peer import Peer
from lagoonbend._internal.models.target import Target


class FleetList(NamedTuple):
    """One reading of the platform's list.

    :param revision: grows with each publication.
    :param peers: instances.
    :param targets: model engines and plain services.
    """

    revision: int
    peers: tuple[Peer, ...]
    targets: tuple[Target, ...]
