"""State that two instances send each other in an exchange."""

from typing import NamedTuple

from lagoonbend_entry._internal.models.aged_load import AgedLoad


class Digest(NamedTuple):
    """Revisions that an instance uses, and the loads that it knows.

    :param instance: name of the instance.
    :param address: address of its peer listener as ``ip:port``.
    :param partner: partner whose document part the instance uses.
    :param part_revision: revision of that document part.
    :param part_digest: digest of that document part.
    :param fleet_revision: revision of the list of instances and targets.
    :param seat_epoch: epoch of the seat plan, which assigns bare keys to
        owners.
    :param loads: latest known loads of targets.
    """

    instance: str
    address: str
    partner: str
    part_revision: int
    part_digest: str
    fleet_revision: int
    seat_epoch: int
    loads: tuple[AgedLoad, ...] = ()
