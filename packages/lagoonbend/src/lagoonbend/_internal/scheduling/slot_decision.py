"""What became of the wish for a place."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.denial import Denial


class SlotDecision(NamedTuple):
    """A place, or the reason why there is none.

    :param call: the call.
    :param instance: instance that carries the call.
    :param target: target that may get the call; empty if denied.
    :param expected_ms: expected time to the first bytes of the answer.
    :param denial: None if there is a place.
    :param retry_after_ms: when room is likely, if denied.
    :param waited_ms: time that the call has waited for the decision.
    :param pool_wait_ms: expected wait of a newcomer of the same rank.
    :param pool: pool that decided; known where the call is carried.
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
