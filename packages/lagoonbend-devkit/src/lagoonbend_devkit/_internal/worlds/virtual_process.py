"""A process of an instance in a world."""

from lagoonbend.attempts import RetryBudget
from lagoonbend.claims import KeyWindow
from lagoonbend.clock import Clock
from lagoonbend.invariants import Invariants
from lagoonbend.membership import FleetView
from lagoonbend.models import FleetList
from lagoonbend.models import SeatPlan
from lagoonbend_devkit._internal.worlds.part_types import PartTypes
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes


class VirtualProcess:
    """The decision parts of one incarnation of an instance.

    :param instance: name of the instance.
    :param address: address of its peer listener.
    :param failure_domain: domain it stands in.
    :param incarnation: number of the incarnation.
    :param clock: clock of its machine.
    :param times: windows and bounds.
    :param types: classes of its parts.
    :param fleet_list: list of instances.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        failure_domain: str,
        incarnation: int,
        clock: Clock,
        times: WorldTimes,
        types: PartTypes,
        fleet_list: FleetList,
    ) -> None:
        self.instance = instance
        self.address = address
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.clock = clock
        self.is_alive = True
        self.is_paused = False
        self.invariants = Invariants(strict=True)
        self.budget = RetryBudget()
        fleet = FleetView(clock)
        window = KeyWindow(
            times.repeat_window_ms,
            times.connection_ms + times.pause_ms,
            times.nonce_life_ms,
        )
        fleet.apply(fleet_list)
        self.ticket_issuer = types.ticket_issuer(
            instance, str(incarnation), clock
        )
        self.ownership = types.ownership(
            address,
            clock,
            window=window,
            confirm_ms=times.confirm_ms,
        )
        self.ledger = types.ledger(
            clock,
            self.ticket_issuer,
            self.ownership,
            ticket_life_ms=times.ticket_life_ms,
            window=window,
            invariants=self.invariants,
        )
        self.pauses = types.pauses(
            clock, pause_ms=times.pause_ms, settle_ms=times.settle_ms
        )
        self.directory = types.directory(
            instance, address, self.ownership, fleet
        )

    @property
    def is_running(self) -> bool:
        """True if the process can act now."""
        return self.is_alive and not self.is_paused

    def apply(self, plan: SeatPlan) -> None:
        """Put a plan of bare keys into force."""
        self.ownership.apply(plan)
