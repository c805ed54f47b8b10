"""Applies the rules in force to a request."""

import random

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.call_headers import CallHeaders

NEGATIVE_AGE_MS = 3_000
"""Age of facts up to which "no such route or key" is said for certain. The
proof of a sound watch is up to 1.8 s old, and a second more when it comes
from a peer."""


class Admission:
    """Finds route, customer and service of a request.

    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param fact_limit_ms: age of facts above which a customer's key may have
        been taken away without this instance knowing.
    :param choose: returns a number from 0 up to 1; spreads weighted routes.
    """

    def __init__(
        self,
        facts: FactsCache,
        clock: Clock,
        fact_limit_ms: int,
        choose: random.Random,
    ) -> None:
        self._facts = facts
        self._clock = clock
        self._fact_limit_ms = fact_limit_ms
        self._choose = choose

    def admit(self, request: IncomingRequest) -> AdmittedCall | RefusalReason:
        """Return the call, or why there is none."""
        rules = self._facts.rules
        if rules is None:
            return RefusalReason.NOT_CONFIGURED
        age_ms = self._facts.age_ms()
        headers = call_headers.decode_call_headers(request.header_map)
        host = request.header_map.get('host', '').lower()
        path = request.path.partition('?')[0]
        route = rules.find_route(host, path)
        if route is None:
            return self._deny(RefusalReason.NO_ROUTE, age_ms)
        customer = rules.customers_by_key.get(headers.key)
        if rules.requires_keys and not route.is_public:
            if customer is None:
                return self._deny(RefusalReason.NO_CUSTOMER, age_ms)
            if age_ms is None or age_ms >= self._fact_limit_ms:
                return RefusalReason.FACTS_TOO_OLD
        return AdmittedCall(
            request,
            headers,
            route,
            customer,
            self._choose_service(route),
            rules.version,
            age_ms,
            request.received_ms + self._find_time_ms(route, headers),
        )

    @staticmethod
    def _deny(reason: RefusalReason, age_ms: int | None) -> RefusalReason:
        if age_ms is None or age_ms >= NEGATIVE_AGE_MS:
            return RefusalReason.FACTS_TOO_OLD
        return reason

    @staticmethod
    def _find_time_ms(route: Route, headers: CallHeaders) -> int:
        if headers.deadline_ms is None:
            return route.timeout_ms
        return min(route.timeout_ms, headers.deadline_ms)

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        names = [share.service for share in route.services]
        return self._choose.choices(names, weights)[0]


def count_cost_units(
    customer: CustomerRule | None, headers: CallHeaders
) -> float:
    """Return what a call costs of its customer's limit."""
    if customer is None or not customer.rate_per_s:
        return 0.0
    if not customer.counts_tokens:
        return 1.0
    if headers.prompt_tokens is None:
        return float(customer.default_tokens)
    return float(headers.prompt_tokens + headers.output_tokens)
