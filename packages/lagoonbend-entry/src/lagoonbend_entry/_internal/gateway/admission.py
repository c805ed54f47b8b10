"""Applies the current rules to a request."""

import random

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend.rendezvous import choose_by_weight
from lagoonbend.scheduling import CALL_AGES
from lagoonbend.scheduling import CallAge
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.fact_ages import DEFAULT_AGES
from lagoonbend_entry._internal.gateway.fact_ages import FactAges
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.call_headers import CallHeaders


class Admission:
    """Finds the route, customer and service of a request.

    :param facts: configuration and target list as last read.
    :param clock: clock of the instance.
    :param max_fact_age_ms: age of the facts from which a customer's key may
        have been revoked without this instance knowing.
    :param random_source: chooses among the weighted services of a route for
        calls without an identity.
    :param call_age: tells for how long callers have waited; None to count
        each call from its receipt.
    :param ages: age of the facts from which an unknown route or key gets a 503
        in place of a final rejection.
    """

    def __init__(
        self,
        facts: FactsCache,
        clock: Clock,
        max_fact_age_ms: int,
        random_source: random.Random,
        call_age: CallAge | None = None,
        ages: FactAges = DEFAULT_AGES,
    ) -> None:
        self._facts = facts
        self._clock = clock
        self._max_fact_age_ms = max_fact_age_ms
        self._ages = ages
        self._random_source = random_source
        self._call_age = call_age or CALL_AGES['receipt']()

    def admit(self, request: IncomingRequest) -> AdmittedCall | RefusalReason:
        """Return the admitted call, or the reason to refuse the request."""
        rules = self._facts.rules
        if rules is None:
            return RefusalReason.NOT_CONFIGURED
        peer_version = handover_mark.find_rules_version(request.header_map)
        if peer_version > rules.version:
            # The peer's callers may have seen the newer rules already.
            return RefusalReason.FACTS_TOO_OLD
        age_ms = self._facts.age_ms()
        headers = call_headers.decode_call_headers(request.header_map)
        host = request.header_map.get('host', '').lower()
        path = request.path.partition('?')[0]
        route = rules.find_route(host, path)
        if route is None:
            return self.reject_if_current(
                RefusalReason.NO_ROUTE, age_ms, self._ages
            )
        customer = rules.customers_by_key.get(headers.key)
        if rules.requires_keys and not route.is_public:
            if customer is None:
                return self.reject_if_current(
                    RefusalReason.NO_CUSTOMER, age_ms, self._ages
                )
            if age_ms is None or age_ms >= self._max_fact_age_ms:
                return RefusalReason.FACTS_TOO_OLD
        return AdmittedCall(
            request,
            headers,
            route,
            customer,
            self._choose_service(route, headers),
            rules.version,
            age_ms,
            request.received_ms + self._get_timeout_ms(route, headers),
            self._estimate_waited_ms(route, headers),
        )

    def _estimate_waited_ms(self, route: Route, headers: CallHeaders) -> int:
        """Return for how long the caller had waited before this request.

        One that takes up a stream has had its first events in time.
        """
        if headers.last_event:
            return 0
        return self._call_age.estimate_waited_ms(
            route.name, headers.deadline_ms
        )

    @staticmethod
    def reject_if_current(
        reason: RefusalReason, age_ms: int | None, ages: FactAges
    ) -> RefusalReason:
        """Return the reason, or that the facts are too old to be sure."""
        return (
            reason if ages.is_current(age_ms) else RefusalReason.FACTS_TOO_OLD
        )

    @staticmethod
    def _get_timeout_ms(route: Route, headers: CallHeaders) -> int:
        if headers.deadline_ms is None:
            return route.timeout_ms
        return min(route.timeout_ms, headers.deadline_ms)

    def _choose_service(self, route: Route, headers: CallHeaders) -> str:
        """Return the service of a call.

        All instances choose the same for a stream and for what goes on with
        it, whoever runs that.
        """
        if len(route.services) == 1:
            return route.services[0].service
        stream = headers.attempt
        if headers.last_event:
            stream = headers.continued_attempt or stream
        weights = {share.service: share.weight for share in route.services}
        name = choose_by_weight(weights, stream) if stream else None
        if name is not None:
            return name
        return self._random_source.choices(
            list(weights), list(weights.values())
        )[0]


def count_cost_units(
    customer: CustomerRule | None, headers: CallHeaders
) -> float:
    """Return the units that a call takes from its customer's limit."""
    if customer is None or not customer.rate_per_s:
        return 0.0
    if not customer.counts_tokens:
        return 1.0
    if headers.prompt_tokens is None:
        return float(customer.default_tokens)
    return float(headers.prompt_tokens + headers.output_tokens)
