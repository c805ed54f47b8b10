"""Who owns which bare keys."""

from typing import NamedTuple


class SeatPlan(NamedTuple):
    """Addresses that share the bare keys of a partner.

    An address is held by one process at a time, so that it tells the owner
    without an election.

    :param epoch: grows with each change of the plan.
    :param seats: peer addresses, as ``ip:port``, that own keys now.
    :param previous: addresses that owned keys in the epoch before; equal
        to ``seats`` once the operators have seen the epoch in force
        everywhere.
    """

    epoch: int
    seats: tuple[str, ...]
    previous: tuple[str, ...]
