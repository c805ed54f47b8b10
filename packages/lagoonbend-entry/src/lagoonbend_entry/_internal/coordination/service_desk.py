"""The schedulers of the services that an instance decides for."""

from collections.abc import Callable
from collections.abc import Iterable

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import PlaceDecision
from lagoonbend.scheduling import PlaceRequest
from lagoonbend.scheduling import ServiceScheduler
from lagoonbend_entry._internal.gateway.facts_keeper import FactsKeeper


class ServiceDesk:
    """Schedulers by service, fed with the facts in force.

    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param limits: customers' limits.
    :param invariants: checks that must always hold.
    :param deliver: called with each decision.
    """

    def __init__(
        self,
        facts: FactsKeeper,
        clock: Clock,
        limits: SharedLimits,
        invariants: Invariants,
        deliver: Callable[[PlaceDecision], None],
    ) -> None:
        self.limits = limits
        self._facts = facts
        self._clock = clock
        self._invariants = invariants
        self._deliver = deliver
        self._schedulers: dict[str, ServiceScheduler] = {}

    @property
    def services(self) -> list[str]:
        """Services with a scheduler here."""
        return list(self._schedulers)

    @property
    def schedulers(self) -> Iterable[ServiceScheduler]:
        """All schedulers."""
        return self._schedulers.values()

    def find(self, service: str) -> ServiceScheduler | None:
        """Return the scheduler of a service, if there is one."""
        return self._schedulers.get(service)

    def open(self, service: str) -> ServiceScheduler:
        """Return the scheduler of a service; make one if needed."""
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = ServiceScheduler(
                self._find_profile(service),
                self._clock,
                self.limits,
                self._invariants,
            )
            self._schedulers[service] = scheduler
            self._feed(service, scheduler)
        return scheduler

    def close(self, service: str) -> ServiceScheduler | None:
        """Give up deciding for a service; return its scheduler."""
        return self._schedulers.pop(service, None)

    def submit(self, request: PlaceRequest, rule: CustomerRule | None) -> None:
        """Hand a call to the scheduler of its service."""
        scheduler = self.open(request.service)
        self.deliver(scheduler.submit(request, rule))

    def deliver(self, decisions: Iterable[PlaceDecision]) -> None:
        """Hand out decisions."""
        for decision in list(decisions):
            self._deliver(decision)

    def feed(self) -> None:
        """Take in changed facts."""
        for service, scheduler in self._schedulers.items():
            self._feed(service, scheduler)

    def advance(self, share: float) -> None:
        """Let time pass.

        :param share: part of the places that may be used here.
        """
        for scheduler in list(self._schedulers.values()):
            scheduler.share = share
            self.deliver(scheduler.advance())

    def _feed(self, service: str, scheduler: ServiceScheduler) -> None:
        targets = self._facts.directory.list_service(service)
        profile = self._find_profile(service)
        self.deliver(scheduler.set_targets(profile, targets))

    def _find_profile(self, service: str) -> ServiceProfile:
        rules = self._facts.rules
        known = rules.services.get(service) if rules else None
        return known or ServiceProfile(service)
