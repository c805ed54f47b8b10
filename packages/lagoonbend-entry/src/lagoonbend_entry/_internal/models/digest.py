"""What two instances tell each other at each exchange."""

from typing import NamedTuple

from lagoonbend_entry._internal.models.aged_load import AgedLoad


class Digest(NamedTuple):
    """Revisions that an instance has in force.

    :param instance: name of the instance.
    :param address: address of its peer listener as ``ip:port``.
    :param partner: partner whose part it obeys.
    :param part_revision: revision of that part.
    :param part_digest: digest of that part.
    :param fleet_revision: revision of the list.
    :param seat_epoch: epoch of the owners of bare keys.
    :param loads: latest loads of targets.
    """

    instance: str
    address: str
    partner: str
    part_revision: int
    part_digest: str
    fleet_revision: int
    seat_epoch: int
    loads: tuple[AgedLoad, ...] = ()
