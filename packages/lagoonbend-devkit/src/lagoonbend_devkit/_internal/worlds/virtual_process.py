"""A simulated process of an instance."""

from lagoonbend.attempts import RetryBudget
from lagoonbend.claims import KeyWindow
from lagoonbend.clock import Clock
from lagoonbend.invariants import Invariants
from lagoonbend.membership import FleetView
from lagoonbend.models import FleetList
from lagoonbend.models import SeatPlan
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes


class VirtualProcess:
    """The decision components of one incarnation of an instance.

    :param instance: name of the instance.
    :param address: address of its peer listener.
    :param failure_domain: failure domain that it runs in.
    :param incarnation: number of the incarnation; unique in the fleet.
    :param clock: clock of its machine.
    :param times: time windows and limits of the components.
    :param component_types: classes of the components.
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
        component_types: ComponentTypes,
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
        self.retry_budget = RetryBudget()
        fleet = FleetView(clock)
        window = KeyWindow(
            times.repeat_window_ms,
            times.connection_ms + times.pause_ms,
            times.nonce_life_ms,
        )
        fleet.apply(fleet_list)
        self.ticket_issuer = component_types.ticket_issuer(
            instance, str(incarnation), clock
        )
        self.ownership = component_types.ownership(
            address,
            clock,
            window=window,
            confirm_ms=times.confirm_ms,
        )
        self.ledger = component_types.ledger(
            clock,
            self.ticket_issuer,
            self.ownership,
            ticket_life_ms=times.ticket_life_ms,
            window=window,
            invariants=self.invariants,
        )
        self.pause_detector = component_types.pause_detector(
            clock, pause_ms=times.pause_ms, settle_ms=times.settle_ms
        )
        self.holder_directory = component_types.holder_directory(
            instance, address, self.ownership, fleet
        )

    @property
    def is_running(self) -> bool:
        """True if the process is neither killed nor paused."""
        return self.is_alive and not self.is_paused

    def apply(self, plan: SeatPlan) -> None:
        """Apply a plan of who owns which bare keys."""
        self.ownership.apply(plan)
