"""A call that waits for a slot."""

import gevent.event

from lagoonbend.facts import CustomerRule
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event


class PendingCall:
    """Wakes the greenlet that handles a call once it is decided on.

    :param request: the request for a slot.
    :param rule: limit of the customer, if any.
    :param decider: address of the instance that the request was sent to.
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
        """Wake the call with a decision."""
        self._result.set(decision)

    def request_again(self) -> None:
        """Wake the call, to request its slot from the current decider."""
        self._result.set(None)

    def wait(self, timeout_ms: int) -> SlotDecision | None:
        """Return the decision; None if the call must request its slot again.

        :raises TimeoutError: if there is no decision in time.
        """
        try:
            result: SlotDecision | None = self._result.get(
                timeout=timeout_ms / 1000
            )
        except gevent.Timeout as error:
            raise TimeoutError('no decision in time') from error
        return result

    def log_scheduled_here(self, event: Event) -> None:
        """Log why this instance schedules the call itself."""
        log_event(
            event,
            request=self.request.call,
            decider=self.decider,
            service=self.request.pool,
        )
