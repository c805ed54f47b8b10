"""A request that the rules allow."""

from typing import NamedTuple

from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.platform.call_headers import CallHeaders


class AdmittedCall(NamedTuple):
    """A request with the rules that apply to it, fixed for its whole life.

    :param request: the request.
    :param headers: facts from its headers.
    :param route: its route.
    :param customer: its customer; None on a public route without a key.
    :param service: the service that shall run it.
    :param version: version of the rules.
    :param fact_age_ms: age of the proof that the rules are the newest.
    :param ends_ms: when nobody waits any more or the route's time is up, on
        the instance's clock.
    """

    request: IncomingRequest
    headers: CallHeaders
    route: Route
    customer: CustomerRule | None
    service: str
    version: int
    fact_age_ms: int | None
    ends_ms: int
