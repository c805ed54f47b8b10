"""A request that the rules allow to run."""

from typing import NamedTuple

from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform.call_headers import CallHeaders


class AdmittedCall(NamedTuple):
    """A request with the rules that apply to it until it is answered.

    Later changes of the rules don't affect it.

    :param request: request as received.
    :param headers: values decoded from its headers.
    :param route: matching route.
    :param customer: customer of its key; None on a public route without a
        key.
    :param service: service that runs it.
    :param version: version of the rules.
    :param fact_age_ms: time since the rules were last confirmed as current.
    :param expires_at_ms: time on the instance's clock at which the caller's
        deadline or the route's timeout passes.
    :param waited_before_ms: time for which the caller had waited when it sent
        the request, if it has been refused before.
    """

    request: IncomingRequest
    headers: CallHeaders
    route: Route
    customer: CustomerRule | None
    service: str
    version: int
    fact_age_ms: int | None
    expires_at_ms: int
    waited_before_ms: int = 0

    @property
    def is_handed_over(self) -> bool:
        """True if another instance hands the call over."""
        return handover_mark.is_handed_over(self.request.header_map)

    @property
    def may_hand_back(self) -> bool:
        """True if that instance asks another one then."""
        return handover_mark.may_hand_back(self.request.header_map)

    @property
    def bound_version(self) -> str | None:
        """Software version to which another instance has bound the call."""
        if not self.is_handed_over:
            return None
        return handover_mark.find_bound_version(self.request.header_map)
