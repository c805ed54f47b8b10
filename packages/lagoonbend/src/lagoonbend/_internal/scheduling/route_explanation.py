"""What a call costs at each target, and why a target can't run it now.

The terms of the cost are those by which ``TargetSet`` chooses a target.
"""

import enum
from typing import NamedTuple

from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import TargetLoad

CROSS_DOMAIN_COST_MS = 10.0
"""Cost of choosing a target in another failure domain, for the round trip
and the head of the request."""
CROSS_DOMAIN_COST_MS_PER_KB = 2.0
"""Cost of each kilobyte of the body that is sent to another failure domain,
because traffic between domains is charged for."""
FULL_LOAD_COST_MS = 40.0
"""Cost of a fully used target compared with an idle one, because each
running call slows down the others."""


class OutReason(enum.Enum):
    """Why a target is left out of the choice for a call."""

    NOT_LISTED = 'not_listed'
    EXCLUDED = 'excluded'
    ABSENT = 'absent'
    COLD = 'cold'
    LIMITED = 'limited'
    REJECTED = 'rejected_a_call'
    EJECTED = 'ejected'
    UNREACHABLE = 'unreachable'
    NO_SLOT = 'no_slot'
    MEMORY = 'memory'
    SLOT_LIMIT = 'slot_limit'


class CostTerms(NamedTuple):
    """Cost of a call at a target: the sum of the times, times the factor.

    :param first_byte_ms: expected time to the first byte.
    :param load_ms: cost to the calls that run there.
    :param other_domain_ms: cost of another failure domain.
    :param fault_factor: 1 at a target without faults, and up to 3.
    """

    first_byte_ms: float
    load_ms: float
    other_domain_ms: float
    fault_factor: float

    @property
    def total_ms(self) -> float:
        """Cost by which the target is compared with others."""
        times_ms = self.first_byte_ms + self.load_ms + self.other_domain_ms
        return times_ms * self.fault_factor


class TargetState(NamedTuple):
    """What its set knows of a target, besides its load.

    :param is_listed: True if it is in the target list.
    :param is_candidate: True if calls may be sent to it as far as its health
        and its rate allow.
    :param share: share of its slots that may be used.
    :param has_set_room: False if the slots of the whole set that may be used
        are in use.
    :param cold_ms: for how long it is still cold; 0 if it isn't.
    :param rate_per_s: calls a second that it may be sent; None for no limit.
    :param rate_wait_ms: time for which this allows no call.
    """

    is_listed: bool
    is_candidate: bool
    share: float
    has_set_room: bool
    cold_ms: int
    rate_per_s: float | None
    rate_wait_ms: int


class TargetExplanation(NamedTuple):
    """A target in the choice for a call.

    :param target: identity of the target.
    :param failure_domain: its failure domain.
    :param held: slots in use.
    :param slots: slots that may be in use now.
    :param cached_tokens: tokens of the prompt that count as cached there.
    :param cost: terms of its cost.
    :param state: what else is known of it.
    :param reasons: why it can't run the call now; empty if it can.
    :param tolerated: reasons that don't count now, as too few targets are
        without them.
    """

    target: str
    failure_domain: str
    held: int
    slots: int
    cached_tokens: int
    cost: CostTerms
    state: TargetState
    reasons: tuple[OutReason, ...]
    tolerated: tuple[OutReason, ...]


class PoolExplanation(NamedTuple):
    """What would become of a call in a pool now.

    :param targets: all targets that the scheduler knows.
    :param chosen: target that would run the call; empty for none.
    :param wait_ms: expected wait of a call of its rank.
    :param waiting_count: calls that wait now.
    :param denial: why it would be denied a slot; None if it wouldn't.
    :param retry_after_ms: time after which its caller would be asked back.
    """

    targets: tuple[TargetExplanation, ...]
    chosen: str
    wait_ms: int
    waiting_count: int
    denial: Denial | None
    retry_after_ms: int


def split_cost(
    load: TargetLoad, request: SlotRequest, first_byte_ms: float
) -> tuple[float, float, float, float]:
    """Return the fields of ``CostTerms`` for a call at a target.

    It is a plain tuple, which takes less time to build, since it is needed
    for each target whenever one is chosen.

    :param first_byte_ms: expected time to the first byte.
    """
    listed = load.listed
    other_domain_ms = 0.0
    if listed.failure_domain != request.failure_domain:
        other_domain_ms = (
            CROSS_DOMAIN_COST_MS
            + CROSS_DOMAIN_COST_MS_PER_KB * request.body_bytes / 1024
        )
    return (
        first_byte_ms,
        FULL_LOAD_COST_MS * len(load.held) / listed.slots,
        other_domain_ms,
        1.0 + 2.0 * load.faults.fault_rate,
    )


def explain_target(
    load: TargetLoad, request: SlotRequest, state: TargetState, now_ms: int
) -> TargetExplanation:
    """Return the cost of a call at a target, and why it can't run there."""
    health = _list_health_reasons(load, request, now_ms)
    reasons = _list_fixed_reasons(load, request, state, now_ms)
    if not state.is_candidate:
        reasons += health
    first_byte_ms = load.estimate_first_byte_ms(request, now_ms)
    slots = load.count_slots(state.share)
    if len(load.held) >= slots:
        reasons.append(OutReason.NO_SLOT)
    elif not load.has_room(request, state.share):
        reasons.append(OutReason.MEMORY)
    elif not state.has_set_room:
        reasons.append(OutReason.SLOT_LIMIT)
    return TargetExplanation(
        load.listed.target,
        load.listed.failure_domain,
        len(load.held),
        slots,
        request.prompt_tokens - load.cache.count_new_tokens(request.prompt),
        CostTerms(*split_cost(load, request, first_byte_ms)),
        state,
        tuple(reasons),
        tuple(health) if state.is_candidate else (),
    )


def _list_fixed_reasons(
    load: TargetLoad, request: SlotRequest, state: TargetState, now_ms: int
) -> list[OutReason]:
    """Return the reasons that hold whatever the other targets are like."""
    is_cold = state.cold_ms > 0
    found = {
        OutReason.NOT_LISTED: not state.is_listed,
        OutReason.EXCLUDED: load.listed.target in request.excluded,
        OutReason.ABSENT: load.faults.is_absent(now_ms),
        OutReason.COLD: state.rate_wait_ms > 0 and is_cold,
        OutReason.LIMITED: state.rate_wait_ms > 0 and not is_cold,
    }
    return [reason for reason, is_found in found.items() if is_found]


def _list_health_reasons(
    load: TargetLoad, request: SlotRequest, now_ms: int
) -> list[OutReason]:
    """Return the reasons that count while enough targets are without them."""
    faults = load.faults
    found = {
        OutReason.REJECTED: now_ms < load.full_until_ms,
        OutReason.EJECTED: faults.is_ejected(now_ms),
        OutReason.UNREACHABLE: faults.is_unreachable_from(
            request.failure_domain, now_ms
        ),
    }
    return [reason for reason, is_found in found.items() if is_found]
