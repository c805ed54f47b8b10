"""Finds the instance that decides on claims on a key, its holder."""

from lagoonbend._internal.attempts import refusals
from lagoonbend._internal.claims.key_ownership import KeyOwnership
from lagoonbend._internal.claims.ticket import is_ticket
from lagoonbend._internal.claims.ticket import parse_ticket
from lagoonbend._internal.exceptions import TicketError
from lagoonbend._internal.membership.fleet_view import FleetView


class HolderDirectory:
    """Maps keys to the addresses of their holders.

    A ticket names the instance that issued it, its home. A bare key belongs
    to one of the addresses in the seat plan.

    :param instance: name of this instance.
    :param address: address of this instance's peer listener.
    :param ownership: owners of bare keys.
    :param fleet: list of instances.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        ownership: KeyOwnership,
        fleet: FleetView,
    ) -> None:
        self._instance = instance
        self._address = address
        self._ownership = ownership
        self._fleet = fleet

    def find(self, key: str) -> str | None:
        """Return the address of a key's holder; None for this instance.

        :raises RefusedError: if the ticket is malformed or the holder is
            not known.
        """
        if is_ticket(key):
            return self._find_home(key)
        owner = self._ownership.find_owner(key)
        if owner is None:
            raise refusals.refuse_unreachable_owner()
        return None if owner == self._address else owner

    def _find_home(self, key: str) -> str | None:
        try:
            ticket = parse_ticket(key)
        except TicketError as error:
            raise refusals.refuse_malformed(str(error)) from error
        if ticket.home == self._instance:
            return None
        peer = self._fleet.find_peer(ticket.home)
        if peer is None:
            raise refusals.refuse_unreachable_owner()
        return peer.address
