"""The addresses that own bare keys."""

from typing import NamedTuple


class SeatPlan(NamedTuple):
    """The addresses among which the bare keys of a partner are divided.

    A bare key is an idempotency key that a caller chose. Each address of the
    plan is called a seat. Only one process at a time uses an address, so that
    the address identifies the owner of a key without an election.

    :param epoch: increases with each change of the plan.
    :param seats: peer addresses, as ``ip:port``, that own keys in this epoch.
    :param former: the seats of earlier epochs, as long as some process may
        still start with a document of that epoch.
    """

    epoch: int
    seats: tuple[str, ...]
    former: tuple[tuple[str, ...], ...] = ()
