"""The schedulers of several pools at one instance."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
import math

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import NamedLimits
from lagoonbend.facts import ServiceProfile
from lagoonbend.invariants import Invariants
from lagoonbend.limits import SharedLimits
from lagoonbend.rendezvous import score_candidate
from lagoonbend.scheduling import CustomerOrderClass
from lagoonbend.scheduling import KeptPromptTotals
from lagoonbend.scheduling import LatestStartOrder
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import log_failure


class PoolSchedulers:
    """Keeps a scheduler per pool, and updates them when the facts change.

    ``kept_prompts`` names how new schedulers weigh cached prompts against the
    wait for their targets, and ``kept_prompt_totals`` counts such waits.

    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param limits: customers' limits.
    :param invariants: checks that must always hold.
    :param deliver: called with each decision.
    :param on_waiting: called when a call has to wait for its slot.
    :param named_limits: limits that targets have named.
    :param spread_key: identity of the instance if others schedule the same
        targets without knowing of its calls: each prefers other ones.
    :param customer_order: builds the order among the customers of a pool.
    """

    def __init__(
        self,
        facts: FactsCache,
        clock: Clock,
        limits: SharedLimits,
        invariants: Invariants,
        deliver: Callable[[SlotDecision], None],
        on_waiting: Callable[[], None],
        named_limits: NamedLimits,
        spread_key: str = '',
        customer_order: CustomerOrderClass = LatestStartOrder,
    ) -> None:
        self.limits = limits
        self.kept_prompts = 'off'
        self.kept_prompt_totals = KeptPromptTotals()
        self._facts = facts
        self._clock = clock
        self._invariants = invariants
        self._deliver = deliver
        self._on_waiting = on_waiting
        self._named_limits = named_limits
        self._spread_key = spread_key
        self._customer_order = customer_order
        self._rate_share = 1.0
        self._schedulers: dict[str, PoolScheduler] = {}
        self._share = 1.0
        self._unreachable_domains: frozenset[str] = frozenset()

    @property
    def pools(self) -> list[str]:
        """Pools with a scheduler here."""
        return list(self._schedulers)

    @property
    def schedulers(self) -> Iterable[PoolScheduler]:
        """All schedulers."""
        return self._schedulers.values()

    def list_pools(self) -> list[tuple[str, PoolScheduler]]:
        """Return all pools with their schedulers."""
        return list(self._schedulers.items())

    @property
    def has_waiting(self) -> bool:
        """True while any call waits for a slot."""
        return any(len(scheduler) for scheduler in self.schedulers)

    def count_waiting(self) -> Counter[str]:
        """Return the number of waiting calls of each service."""
        counts: Counter[str] = Counter()
        for scheduler in self.schedulers:
            counts[scheduler.service.name] += len(scheduler)
        return counts

    def find(self, pool: str) -> PoolScheduler | None:
        """Return the scheduler of a pool, if there is one."""
        return self._schedulers.get(pool)

    def get_or_create(self, pool: str) -> PoolScheduler:
        """Return the scheduler of a pool; create it if there is none."""
        scheduler = self._schedulers.get(pool)
        if scheduler is None:
            scheduler = PoolScheduler(
                self._find_profile(pool),
                self._clock,
                self.limits,
                self._invariants,
                self._named_limits,
                self._facts.cold_targets,
                self._customer_order(),
                self.kept_prompts,
                self.kept_prompt_totals,
            )
            scheduler.targets.is_fallback = bool(self._spread_key)
            self._schedulers[pool] = scheduler
            self._apply_facts_to(pool, scheduler)
            self._apply_share_to(scheduler)
        return scheduler

    def remove(self, pool: str) -> PoolScheduler | None:
        """Remove the scheduler of a pool; return it, if there was one."""
        return self._schedulers.pop(pool, None)

    def submit(self, request: SlotRequest, rule: CustomerRule | None) -> None:
        """Submit a call to the scheduler of its pool."""
        scheduler = self.get_or_create(request.pool)
        self.deliver(scheduler.submit(request, rule))
        if len(scheduler):
            self._on_waiting()

    def deliver(self, decisions: Iterable[SlotDecision]) -> None:
        """Pass decisions on to those who wait for them."""
        for decision in list(decisions):
            self._deliver(decision)

    def apply_facts(self) -> None:
        """Update all schedulers after the facts have changed."""
        for pool, scheduler in self._schedulers.items():
            self._apply_facts_to(pool, scheduler)

    def run_cycle(
        self,
        share: float,
        rate_share: float,
        unreachable_domains: frozenset[str],
    ) -> None:
        """Apply the state of the fleet, and decide what is due by now.

        :param share: fraction of the slots that may be used here.
        :param rate_share: fraction of the limits that targets name.
        :param unreachable_domains: domains of which no instance is within
            reach.
        """
        self._share = share
        self._rate_share = rate_share
        self._unreachable_domains = unreachable_domains
        for scheduler in list(self._schedulers.values()):
            self._apply_share_to(scheduler)
            try:
                self.deliver(scheduler.expire())
            except Exception as error:
                # The other pools go on.
                log_failure('pool scheduler', error)

    def log_loads(self, reached: int, known: int) -> None:
        """Log the load of each pool that has any.

        :param reached: instances within reach.
        :param known: instances that may use a share of limits.
        """
        for pool, scheduler in self._schedulers.items():
            if not scheduler.targets.held_count and not len(scheduler):
                continue
            log_event(
                Event.SERVICE_LOAD,
                service=scheduler.service.name,
                pool=pool,
                waiting=len(scheduler),
                waiting_for_prompt=scheduler.kept_prompts.waiting_count,
                held=scheduler.targets.held_count,
                targets=scheduler.targets.describe(),
                customers=scheduler.customer_order.describe(
                    self._clock.now_ms()
                ),
                prefill=scheduler.targets.prefill_times.describe()
                if scheduler.service.is_engine
                else None,
                reached=reached,
                known=known,
            )

    def _apply_share_to(self, scheduler: PoolScheduler) -> None:
        targets = scheduler.targets
        targets.share = self._share
        targets.rate_share = self._rate_share
        targets.unreachable_domains = self._unreachable_domains
        targets.slot_limit = None
        if self._share < 1.0:
            slots = math.ceil(targets.slot_count * self._share)
            targets.slot_limit = max(1, slots)

    def _apply_facts_to(self, pool: str, scheduler: PoolScheduler) -> None:
        parsed_pool = Pool.parse(pool)
        targets = parsed_pool.select(
            self._facts.target_directory.list_service(parsed_pool.service)
        )
        if self._spread_key:
            # Of equal targets, a scheduler chooses the first.
            targets = tuple(
                sorted(
                    targets,
                    key=lambda target: score_candidate(
                        target.target, self._spread_key
                    ),
                )
            )
        profile = self._find_profile(pool)
        self.deliver(scheduler.set_targets(profile, targets))

    def _find_profile(self, pool: str) -> ServiceProfile:
        rules = self._facts.rules
        name = Pool.parse(pool).service
        profile = rules.services.get(name) if rules else None
        return profile or ServiceProfile(name)
