"""Who owns which bare keys."""

from typing import NamedTuple


class SeatPlan(NamedTuple):
    """Addresses that share the bare keys of a partner.

    An address is held by one process at a time, so that it tells the owner
    without an election.

    :param epoch: grows with each change of the plan.
    :param seats: peer addresses, as ``ip:port``, that own keys now.
    :param former: the seats of earlier epochs, as long as some process may
        still start from a document of that epoch.
    """

    epoch: int
    seats: tuple[str, ...]
    former: tuple[tuple[str, ...], ...] = ()
