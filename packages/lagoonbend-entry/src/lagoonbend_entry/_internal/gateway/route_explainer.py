"""Explains where a call would go now, without sending it."""

import msgspec

from lagoonbend.clock import Clock
from lagoonbend.exceptions import ConfigurationError
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend.facts import RuleSet
from lagoonbend.facts import WeightedService
from lagoonbend.scheduling import OutReason
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolExplanation
from lagoonbend.scheduling import RankOrder
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend.scheduling import TargetExplanation
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.coordination.pool_chooser import PoolChoice
from lagoonbend_entry._internal.gateway import gateway_refusal
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.admission import count_cost_units
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.fact_ages import DEFAULT_AGES
from lagoonbend_entry._internal.gateway.fact_ages import FactAges
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.slot_requests import SlotRequests
from lagoonbend_entry._internal.gateway.target_pauses import find_spread_ms
from lagoonbend_entry._internal.models import route_answer
from lagoonbend_entry._internal.models.route_question import RouteQuestion
from lagoonbend_entry._internal.platform.call_headers import CallHeaders

HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class RouteExplainer:
    """Answers questions of operators from what this instance knows.

    It only reads: no call is charged, and what estimates update is copied
    first.

    :param facts: configuration and target list as last read.
    :param coordinator: pools, deciders and schedulers.
    :param closed_targets: targets that get no requests.
    :param clock: clock of the instance.
    :param max_fact_age_ms: age of the facts from which calls of customers are
        refused.
    :param instance: this instance's address for peers and its failure
        domain.
    :param rank_order: combines the rank of a customer and of a route.
    :param ages: ages of the facts at which the instance acts.
    """

    def __init__(
        self,
        facts: FactsCache,
        coordinator: Coordinator,
        closed_targets: ClosedTargets,
        clock: Clock,
        max_fact_age_ms: int,
        instance: tuple[str, str],
        rank_order: RankOrder,
        ages: FactAges = DEFAULT_AGES,
    ) -> None:
        self._facts = facts
        self._coordinator = coordinator
        self._closed_targets = closed_targets
        self._clock = clock
        self._max_fact_age_ms = max_fact_age_ms
        self._address, self._failure_domain = instance
        self._rank_order = rank_order
        self._ages = ages
        self._slot_requests = SlotRequests(
            facts,
            coordinator.pools,
            closed_targets,
            clock,
            instance,
            rank_order,
        )

    def answer(self, query: str) -> tuple[int, bytes]:
        """Return status and body for the query of a URL."""
        try:
            question = RouteQuestion.decode(query)
        except ConfigurationError as error:
            return HTTP_BAD_REQUEST, str(error).encode()
        return HTTP_OK, msgspec.json.encode(self.explain(question))

    def explain(
        self, question: RouteQuestion
    ) -> route_answer.RouteExplanation:
        """Return where a call would go, and why."""
        age_ms = self._facts.age_ms()
        rules = self._facts.rules
        answer = route_answer.RouteExplanation(
            instance=self._address,
            failure_domain=self._failure_domain,
            fact_age_ms=age_ms,
            is_current=self._ages.is_current(age_ms),
            version=rules.version if rules else None,
            evacuated_domains=sorted(self._facts.evacuations.domains),
            route=None,
            customer=None,
            rank=None,
            refusal=None,
            services=[],
        )
        if rules is None:
            answer['refusal'] = _build_refusal(RefusalReason.NOT_CONFIGURED)
            return answer
        route = rules.find_route(question.host, question.path)
        if route is None:
            reason = Admission.reject_if_current(
                RefusalReason.NO_ROUTE, age_ms, self._ages
            )
            answer['refusal'] = _build_refusal(reason)
            return answer
        customer = rules.customers_by_name.get(question.customer)
        answer['route'] = route_answer.RouteAnswer(
            name=route.name,
            path_prefix=route.path_prefix,
            rank=route.rank,
            objective_ms=route.objective_ms,
            timeout_ms=route.timeout_ms,
            is_public=route.is_public,
        )
        headers = _build_headers(question)
        cost_units = count_cost_units(customer, headers)
        if customer is not None:
            answer['customer'] = self._describe_customer(customer, cost_units)
        rank = self._rank_order(
            customer.rank if customer else None, route.rank
        )
        answer['rank'] = rank
        rejection = self._find_rejection(rules, route, customer, age_ms)
        if rejection is not None:
            answer['refusal'] = _build_refusal(rejection)
        answer['services'] = [
            self._explain_service(
                question, route, share, customer, cost_units, rank
            )
            for share in route.services
        ]
        return answer

    def _find_rejection(
        self,
        rules: RuleSet,
        route: Route,
        customer: CustomerRule | None,
        age_ms: int | None,
    ) -> RefusalReason | None:
        """Return why the customer's call isn't admitted, as ``Admission``."""
        if not rules.requires_keys or route.is_public:
            return None
        if customer is None:
            return Admission.reject_if_current(
                RefusalReason.NO_CUSTOMER, age_ms, self._ages
            )
        if age_ms is None or age_ms >= self._max_fact_age_ms:
            return RefusalReason.FACTS_TOO_OLD
        return None

    def _describe_customer(
        self, customer: CustomerRule, cost_units: float
    ) -> route_answer.CustomerAnswer:
        limits = self._coordinator.pool_schedulers.limits
        return route_answer.CustomerAnswer(
            name=customer.name,
            rank=customer.rank,
            rate_per_s=customer.rate_per_s,
            burst=customer.burst,
            unit='token' if customer.counts_tokens else 'request',
            cost_units=cost_units,
            usable_share=(
                limits.find_share(customer) if customer.rate_per_s else 1.0
            ),
            level_units=limits.find_level(customer, self._clock.now_ms()),
        )

    def _explain_service(
        self,
        question: RouteQuestion,
        route: Route,
        share: WeightedService,
        customer: CustomerRule | None,
        cost_units: float,
        rank: int,
    ) -> route_answer.ServiceAnswer:
        service = share.service
        targets = self._facts.target_directory.list_service(service)
        excluded = tuple(self._closed_targets.list_closed(targets))
        choice = self._coordinator.pools.explain(
            service, question.prompt, excluded
        )
        request = SlotRequest(
            call='',
            instance=self._address,
            failure_domain=self._failure_domain,
            pool=choice.chosen,
            rank=rank,
            route_rank=route.rank,
            customer=customer.name if customer else '',
            cost_units=cost_units,
            waited_ms=0,
            objective_ms=route.objective_ms,
            deadline_ms=route.timeout_ms,
            prompt=question.prompt,
            output_tokens=question.output_tokens,
            body_bytes=question.body_bytes,
            excluded=excluded,
        )
        decider = self._coordinator.deciders.peek(choice.chosen)
        scheduler = self._coordinator.pool_schedulers.find(choice.chosen)
        answer = route_answer.ServiceAnswer(
            service=service,
            weight=share.weight,
            choice=choice.reason,
            pools=_describe_pools(choice),
            decider=decider,
            is_decided_here=decider == self._address,
            scheduler=None,
            refusal=self._find_refusal(request, service),
            targets=[],
        )
        if scheduler is not None:
            explained = scheduler.explain(request, customer)
            answer['scheduler'] = _describe_scheduler(explained)
            registered = self._facts.target_directory.list_registered(service)
            leaving = {t.target for t in registered if t.is_leaving}
            answer['targets'] = [
                self._describe_target(target, leaving)
                for target in explained.targets
            ]
        known = {target['target'] for target in answer['targets']}
        answer['targets'] += self._list_unused(choice.chosen, known)
        return answer

    def _find_refusal(
        self, request: SlotRequest, service: str
    ) -> route_answer.RefusalAnswer | None:
        """Return the refusal of a call that requests no slot."""
        pause_ms = self._slot_requests.find_service_pause_ms(service)
        if pause_ms is not None:
            return _build_refusal(
                RefusalReason.TARGETS_PAUSED,
                pause_ms,
                find_spread_ms(pause_ms),
            )
        denied = self._coordinator.recent_denials.find(request)
        return _build_denial(denied) if denied is not None else None

    def _list_unused(
        self, pool: str, known: set[str]
    ) -> list[route_answer.TargetAnswer]:
        """Return the registered targets of a pool that get no new calls.

        :param known: targets that are in the answer already.
        """
        directory = self._facts.target_directory
        parsed_pool = Pool.parse(pool)
        registered = directory.list_registered(parsed_pool.service)
        leaving = {t.target for t in registered if t.is_leaving}
        return [
            route_answer.TargetAnswer(
                target=target.target,
                failure_domain=target.failure_domain,
                held=None,
                slots=target.slots,
                cached_tokens=None,
                cold_ms=0,
                rate_per_s=None,
                rate_wait_ms=0,
                cost=None,
                reasons=[self._name_unused(target.target, leaving)],
                tolerated=[],
            )
            for target in parsed_pool.select(registered)
            if target.target not in known
            and directory.find(target.target) is None
        ]

    def _name_unused(self, name: str, leaving: set[str]) -> str:
        """Return why a target that isn't usable gets no call."""
        directory = self._facts.target_directory
        if directory.is_evacuated(name):
            return 'evacuated'
        if name in leaving:
            return 'leaving'
        return OutReason.NOT_LISTED.value

    def _describe_target(
        self, target: TargetExplanation, leaving: set[str]
    ) -> route_answer.TargetAnswer:
        """Return the answer on a target.

        :param leaving: targets of the service that are listed as leaving.
        """
        cost = target.cost
        return route_answer.TargetAnswer(
            target=target.target,
            failure_domain=target.failure_domain,
            held=target.held,
            slots=target.slots,
            cached_tokens=target.cached_tokens,
            cold_ms=target.state.cold_ms,
            rate_per_s=target.state.rate_per_s,
            rate_wait_ms=target.state.rate_wait_ms,
            cost=route_answer.CostAnswer(
                total_ms=round(cost.total_ms, 1),
                first_byte_ms=round(cost.first_byte_ms, 1),
                load_ms=round(cost.load_ms, 1),
                other_domain_ms=round(cost.other_domain_ms, 1),
                fault_factor=round(cost.fault_factor, 2),
            ),
            reasons=[
                self._name_reason(target.target, reason, leaving)
                for reason in target.reasons
            ],
            tolerated=[reason.value for reason in target.tolerated],
        )

    def _name_reason(
        self, name: str, reason: OutReason, leaving: set[str]
    ) -> str:
        """Return a reason, or what this instance knows of its cause."""
        directory = self._facts.target_directory
        if reason is OutReason.NOT_LISTED:
            return self._name_unused(name, leaving)
        listed = directory.find(name)
        if reason is OutReason.EXCLUDED and listed is not None:
            is_leaving = self._closed_targets.is_leaving(listed)
            return 'leaving' if is_leaving else 'paused'
        return reason.value


def _build_headers(question: RouteQuestion) -> CallHeaders:
    """Return the headers of a call as far as a question describes them."""
    return CallHeaders(
        attempt='',
        key='',
        deadline_ms=None,
        prompt=question.prompt,
        prompt_tokens=(
            sum(block.tokens for block in question.prompt)
            if question.prompt
            else None
        ),
        output_tokens=question.output_tokens,
        estimated_output_tokens=0,
    )


def _build_refusal(
    reason: RefusalReason,
    retry_after_ms: int | None = None,
    spread_ms: int = 0,
) -> route_answer.RefusalAnswer:
    if retry_after_ms is None and reason.status == 503:
        retry_after_ms = gateway_refusal.DEFAULT_RETRY_AFTER_MS
    return route_answer.RefusalAnswer(
        status=reason.status,
        reason=reason.label,
        retry_after_ms=retry_after_ms,
        spread_ms=spread_ms,
    )


def _build_denial(decision: SlotDecision) -> route_answer.RefusalAnswer | None:
    if decision.denial is None:
        return None
    return _build_refusal(
        gateway_refusal.DENIAL_REASONS[decision.denial],
        decision.retry_after_ms,
    )


def _describe_pools(choice: PoolChoice) -> list[route_answer.PoolAnswer]:
    return [
        route_answer.PoolAnswer(
            pool=pool,
            wait_ms=int(wait_ms),
            is_home=pool == choice.home,
            is_chosen=pool == choice.chosen,
        )
        for pool, wait_ms in choice.waits
    ]


def _describe_scheduler(
    explained: PoolExplanation,
) -> route_answer.SchedulerAnswer:
    refusal = None
    if explained.denial is not None:
        refusal = _build_refusal(
            gateway_refusal.DENIAL_REASONS[explained.denial],
            explained.retry_after_ms,
        )
    return route_answer.SchedulerAnswer(
        chosen=explained.chosen,
        wait_ms=explained.wait_ms,
        waiting=explained.waiting_count,
        refusal=refusal,
    )
