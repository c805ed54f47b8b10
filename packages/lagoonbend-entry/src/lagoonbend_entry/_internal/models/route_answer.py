"""Where a described call would go, as an instance answers it."""

from typing import TypedDict


class RefusalAnswer(TypedDict):
    """The refusal that the call would get.

    :param retry_after_ms: value of ``Retry-After``, which up to
        ``spread_ms`` is added to; None if a retry is of no use.
    """

    status: int
    reason: str
    retry_after_ms: int | None
    spread_ms: int


class RouteAnswer(TypedDict):
    """The route that matches."""

    name: str
    path_prefix: str
    rank: int
    objective_ms: int
    timeout_ms: int
    is_public: bool


class CustomerAnswer(TypedDict):
    """The customer and its limit as this instance knows it.

    :param rate_per_s: units a second over all instances; 0 for no limit.
    :param unit: ``token`` or ``request``.
    :param cost_units: units that the call takes.
    :param usable_share: share of the limit that may be used here.
    :param level_units: units that may be used at once; None if no call of it
        has been charged by the schedulers of this instance.
    """

    name: str
    rank: int | None
    rate_per_s: float
    burst: float
    unit: str
    cost_units: float
    usable_share: float
    level_units: float | None


class CostAnswer(TypedDict):
    """Terms of the cost of a target: (sum of the times) x factor."""

    total_ms: float
    first_byte_ms: float
    load_ms: float
    other_domain_ms: float
    fault_factor: float


class TargetAnswer(TypedDict):
    """A target of the pool.

    :param held: slots in use; None if only the list of targets knows it.
    :param reasons: why it can't run the call now; empty if it can.
    :param tolerated: reasons that don't count, as too few targets are without
        them.
    """

    target: str
    failure_domain: str
    held: int | None
    slots: int
    cached_tokens: int | None
    cold_ms: int
    rate_per_s: float | None
    rate_wait_ms: int
    cost: CostAnswer | None
    reasons: list[str]
    tolerated: list[str]


class SchedulerAnswer(TypedDict):
    """What the scheduler of the pool would do with the call.

    :param chosen: target that would run it; empty for none.
    :param waiting: calls that wait now.
    :param refusal: refusal that the call would get; None if it would get a
        slot or wait for one.
    """

    chosen: str
    wait_ms: int
    waiting: int
    refusal: RefusalAnswer | None


class PoolAnswer(TypedDict):
    """A pool of the service, and its expected wait as known here."""

    pool: str
    wait_ms: int
    is_home: bool
    is_chosen: bool


class ServiceAnswer(TypedDict):
    """A service that may run the call.

    :param weight: its share of the route's calls.
    :param decider: peers' address of the instance that grants the slots of the
        chosen pool, as known here.
    :param scheduler: None if this instance has none for the pool.
    :param refusal: refusal that the call gets without asking the decider.
    """

    service: str
    weight: float
    choice: str
    pools: list[PoolAnswer]
    decider: str
    is_decided_here: bool
    scheduler: SchedulerAnswer | None
    refusal: RefusalAnswer | None
    targets: list[TargetAnswer]


class RouteExplanation(TypedDict):
    """The whole answer. ``refusal`` is that of a call that isn't admitted."""

    instance: str
    failure_domain: str
    fact_age_ms: int | None
    is_current: bool
    version: int | None
    evacuated_domains: list[str]
    route: RouteAnswer | None
    customer: CustomerAnswer | None
    rank: int | None
    refusal: RefusalAnswer | None
    services: list[ServiceAnswer]
