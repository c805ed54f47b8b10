"""The decision on a request for a slot."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.denial import Denial


class SlotDecision(NamedTuple):
    """A granted slot, or the reason for denying one.

    :param call: identity of the call.
    :param instance: instance that handles the call.
    :param target: target at which the call may run; empty if denied.
    :param expected_ms: expected time to the first byte of the answer.
    :param denial: None if a slot was granted.
    :param retry_after_ms: if denied, the time after which a slot is likely to
        be free.
    :param waited_ms: time that the call has waited for the decision.
    :param pool_wait_ms: expected wait of a new call of the same rank.
    :param pool: name of the pool; set by the instance that handles the call.
    """

    call: str
    instance: str
    target: str = ''
    expected_ms: int = 0
    denial: Denial | None = None
    retry_after_ms: int = 0
    waited_ms: int = 0
    pool_wait_ms: int = 0
    pool: str = ''
