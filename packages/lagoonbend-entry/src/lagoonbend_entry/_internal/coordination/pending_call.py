"""A call that waits for a place."""

import gevent.event

from lagoonbend.facts import CustomerRule
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest


class PendingCall:
    """Wakes the greenlet that carries a call.

    :param request: the wish for a place.
    :param rule: limit of the customer, if any.
    :param decider: address of the asked instance.
    """

    def __init__(
        self, request: SlotRequest, rule: CustomerRule | None, decider: str
    ) -> None:
        self.request = request
        self.rule = rule
        self.decider = decider
        self.is_queued = False
        self._result: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def set_decision(self, decision: SlotDecision) -> None:
        """Hand over a decision."""
        self._result.set(decision)

    def request_again(self) -> None:
        """Let the call ask again, for the asked instance does not decide."""
        self._result.set(None)

    def wait(self, timeout_ms: int) -> SlotDecision | None:
        """Return the decision; None if the call must ask again.

        :raises TimeoutError: if nothing was decided in time.
        """
        try:
            result: SlotDecision | None = self._result.get(
                timeout=timeout_ms / 1000
            )
        except gevent.Timeout as error:
            raise TimeoutError('no decision in time') from error
        return result
