"""Chooses the target pool for a call of this instance."""

from collections.abc import Iterator
from typing import NamedTuple

from lagoonbend.clock import Clock
from lagoonbend.scheduling import CallOrigin
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolPlan
from lagoonbend.scheduling import PoolWaitTimes
from lagoonbend.scheduling import PromptBlock
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache


class PoolChoice(NamedTuple):
    """The pool of a call, and why.

    :param home: name of the pool that it leaves only for a shorter wait.
    :param chosen: name of the pool that it goes to.
    :param reason: why it goes there.
    :param waits: names and expected waits in ms of all pools.
    """

    home: str
    chosen: str
    reason: str
    waits: tuple[tuple[str, float], ...]


class PoolChooser:
    """Tracks the pools of each service and the expected waits in them.

    :param fleet: membership.
    :param facts: rules and targets.
    :param clock: clock of the instance.
    """

    def __init__(self, fleet: Fleet, facts: FactsCache, clock: Clock) -> None:
        self._fleet = fleet
        self._facts = facts
        self._clock = clock
        self._sequence = 0
        self._wait_times = PoolWaitTimes()
        self._plans: dict[str, PoolPlan] = {}
        facts.on_change.append(self._plans.clear)

    def choose(
        self,
        service: str,
        prompt: tuple[PromptBlock, ...],
        excluded: tuple[str, ...] = (),
    ) -> str:
        """Return the name of the pool for a new call.

        :param excluded: targets that must not run the call.
        """
        pool = self._choose(service, prompt, (), excluded)
        pool = pool or self._choose(service, prompt, (), ())
        return pool or Pool(service).name

    def explain(
        self,
        service: str,
        prompt: tuple[PromptBlock, ...],
        excluded: tuple[str, ...] = (),
    ) -> PoolChoice:
        """Return what ``choose`` would do with the next call.

        :param excluded: targets that must not run the call.
        """
        now_ms = self._clock.now_ms()
        plan = self._plans.get(service) or self._build_plan(service)
        tried = tuple(pool.name for pool in plan.list_unusable(set(excluded)))
        sequence = self._sequence + 1
        if len(tried) == len(plan.pools):
            tried = ()
            sequence += 1
        origin = self._build_origin(prompt, tried, sequence)
        home = plan.find_home(origin) or Pool(service)
        chosen = plan.choose(origin, self._wait_times, now_ms) or home
        if len(plan.pools) == 1:
            reason = 'only pool of the service'
        elif chosen == home:
            reason = 'home pool' if prompt else 'home pool of the next call'
        else:
            reason = 'shorter wait than in the home pool'
        return PoolChoice(
            home.name,
            chosen.name,
            reason,
            tuple(
                (
                    pool.name,
                    self._wait_times.estimate_wait_ms(pool.name, now_ms),
                )
                for pool in plan.pools
            ),
        )

    def choose_other(
        self,
        request: SlotRequest,
        decision: SlotDecision,
        tried: tuple[str, ...],
    ) -> str | None:
        """Return another pool for a denied call, if one has a shorter wait.

        :param tried: names of the pools that have denied it.
        """
        service = Pool.parse(request.pool).service
        pool = self._choose(service, request.prompt, tried, request.excluded)
        if pool is None:
            return None
        now_ms = self._clock.now_ms()
        wait_ms = self._wait_times.estimate_wait_ms(pool, now_ms)
        return pool if wait_ms < decision.retry_after_ms else None

    def list_all(self) -> Iterator[str]:
        """Yield the names of the pools of all services."""
        services = self._facts.rules.services if self._facts.rules else ()
        for service in services:
            for pool in self._get_plan(service).pools:
                yield pool.name

    def record_wait(self, pool: str, wait_ms: int) -> None:
        """Record the expected wait that a decision has reported."""
        self._wait_times.record_wait(pool, wait_ms, self._clock.now_ms())

    def _choose(
        self,
        service: str,
        prompt: tuple[PromptBlock, ...],
        tried: tuple[str, ...],
        excluded: tuple[str, ...],
    ) -> str | None:
        if excluded:
            unusable = self._get_plan(service).list_unusable(set(excluded))
            tried = (*tried, *(pool.name for pool in unusable))
        self._sequence += 1
        origin = self._build_origin(prompt, tried, self._sequence)
        pool = self._get_plan(service).choose(
            origin, self._wait_times, self._clock.now_ms()
        )
        return pool.name if pool else None

    def _build_origin(
        self,
        prompt: tuple[PromptBlock, ...],
        tried: tuple[str, ...],
        sequence: int,
    ) -> CallOrigin:
        # Calls with the same prompt go to the same pool, where it is cached;
        # the others are spread.
        key = f'{self._fleet.address}/{sequence}'
        if prompt:
            key = prompt[-1].block_id
        return CallOrigin(
            key,
            self._fleet.failure_domain,
            self._fleet.list_unreachable_domains(),
            tried,
        )

    def _get_plan(self, service: str) -> PoolPlan:
        """Return the pools of a service, computed once per list of targets."""
        plan = self._plans.get(service)
        if plan is None:
            plan = self._build_plan(service)
            self._plans[service] = plan
        return plan

    def _build_plan(self, service: str) -> PoolPlan:
        targets = self._facts.target_directory.list_service(service)
        return PoolPlan(service, targets)
