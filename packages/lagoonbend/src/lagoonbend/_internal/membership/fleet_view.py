"""The fleet as an instance knows it, with the age of that state."""

from lagoonbend._internal.models.fleet_list import FleetList
from lagoonbend._internal.models.peer import Peer
from lagoonbend._internal.utils.clock import Clock


class FleetView:
    """The newest list that this instance has, and its last confirmation.

    :param clock: clock of this instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms: int | None = None
        self.current = FleetList(0, (), ())

    @property
    def age_ms(self) -> int | None:
        """Time since the list was last confirmed; None if it never was."""
        if self._confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    def apply(self, fleet_list: FleetList) -> bool:
        """Store a list unless it is older; return True if it is newer."""
        if fleet_list.revision < self.current.revision:
            return False
        self._confirmed_ms = self._clock.now_ms()
        if fleet_list.revision == self.current.revision:
            return False
        self.current = fleet_list
        return True

    def find_peer(self, instance: str) -> Peer | None:
        """Return the listed instance of that name."""
        for peer in self.current.peers:
            if peer.instance == instance:
                return peer
        return None
