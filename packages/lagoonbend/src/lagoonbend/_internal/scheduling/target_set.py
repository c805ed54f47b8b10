"""The targets of a pool, and the choice among them."""

from collections.abc import Iterable
from collections.abc import Iterator
import copy

from lagoonbend._internal.facts.cold_targets import ColdTargets
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.named_limits import NamedLimits
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.scheduling.prefill_times import PrefillTimes
from lagoonbend._internal.scheduling.prompt_block import PromptBlock
from lagoonbend._internal.scheduling.request_rate import BURST_S
from lagoonbend._internal.scheduling.request_rate import RequestRate
from lagoonbend._internal.scheduling.route_explanation import explain_target
from lagoonbend._internal.scheduling.route_explanation import split_cost
from lagoonbend._internal.scheduling.route_explanation import TargetExplanation
from lagoonbend._internal.scheduling.route_explanation import TargetState
from lagoonbend._internal.scheduling.slot_outcome import SlotOutcome
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.utils.clock import Clock

MILLISECONDS_PER_SECOND = 1000
MIN_COLD_RATE_PER_S = 0.001
"""Rate of a cold target to which no calls are allowed: less than one call in
the time for which any target is cold."""


class TargetSet:
    """The targets of a pool with their slots in use and their health.

    ``share`` is the share of each target's slots that may be granted here,
    ``slot_limit`` the maximum number of slots in use over all targets (None
    for no limit), ``rate_share`` the share of the limits that targets name
    and of the rates of cold ones, ``is_fallback`` True if it serves calls for
    which no decider is reached, ``unreachable_domains`` the failure domains
    without a reachable instance, and ``prefill_times`` the learned times of
    engines.

    :param clock: clock of the instance.
    :param named_limits: limits that targets have named; None for none.
    :param cold_targets: targets that are cold; None for none.
    """

    def __init__(
        self,
        clock: Clock,
        named_limits: NamedLimits | None = None,
        cold_targets: ColdTargets | None = None,
    ) -> None:
        self.share = 1.0
        self.rate_share = 1.0
        self.is_fallback = False
        self._named_limits = named_limits
        self._cold_targets = cold_targets
        self._profile = ServiceProfile('')
        self._has_cold_rate = False
        self.slot_limit: int | None = None
        self.unreachable_domains: frozenset[str] = frozenset()
        self.prefill_times = PrefillTimes()
        self._clock = clock
        self._loads: dict[str, TargetLoad] = {}
        self._listed: dict[str, ListedTarget] = {}

    @property
    def held_count(self) -> int:
        """Number of slots in use."""
        return sum(len(load.held) for load in self._loads.values())

    @property
    def has_listed(self) -> bool:
        """True if the target list isn't empty."""
        return bool(self._listed)

    @property
    def slot_count(self) -> int:
        """Number of slots of all targets."""
        return sum(load.listed.slots for load in self._loads.values())

    def update(
        self, profile: ServiceProfile, targets: Iterable[ListedTarget]
    ) -> None:
        """Apply a new target list.

        A target that is no longer listed stays while a call runs at it.
        """
        self._profile = profile
        self._has_cold_rate = (
            self._cold_targets is not None and profile.cold_rate_per_s > 0
        )
        listed = {target.target: target for target in targets}
        for name in [name for name in self._loads if name not in listed]:
            if not self._loads[name].held:
                del self._loads[name]
        for name, target in listed.items():
            load = self._loads.get(name)
            if load is None:
                self._loads[name] = TargetLoad(
                    target,
                    profile.is_engine,
                    profile.memory_tokens,
                    self.prefill_times,
                )
            else:
                if not target.is_same_life(load.listed):
                    load.forget_former_life()
                load.listed = target
        self._listed = listed

    def find(self, name: str) -> TargetLoad | None:
        """Return the load of a target, or None if the target is unknown."""
        return self._loads.get(name)

    def release_call(self, instance: str, call: str) -> bool:
        """Release the slot of a call at any target.

        :returns: False if it held none.
        """
        slots = [load.release(instance, call) for load in self._loads.values()]
        return any(slot is not None for slot in slots)

    def release_instance(self, instance: str) -> None:
        """Release all slots of an instance."""
        for load in self._loads.values():
            for key in [key for key in load.held if key[0] == instance]:
                load.release(*key)

    def remove_unlisted(self, name: str) -> None:
        """Remove a target that is no longer listed and has no running call."""
        load = self._loads.get(name)
        if load is not None and name not in self._listed and not load.held:
            del self._loads[name]

    def has_no_target(self, excluded: Iterable[str]) -> bool:
        """Return True if no target is left for a call.

        :param excluded: targets at which the call has failed.
        """
        present = {load.listed.target for load in self._list_present()}
        return not present.difference(excluded)

    def choose(self, request: SlotRequest, now_ms: int) -> TargetLoad | None:
        """Return the target with the lowest cost that can run a call."""
        best: TargetLoad | None = None
        best_cost = 0.0
        share = self.share
        for load in self._list_healthy(request, now_ms):
            if not load.has_room(request, share):
                continue
            first_byte_ms, load_ms, other_domain_ms, fault_factor = split_cost(
                load, request, load.estimate_first_byte_ms(request, now_ms)
            )
            cost = (first_byte_ms + load_ms + other_domain_ms) * fault_factor
            if best is None or cost < best_cost:
                best, best_cost = load, cost
        return best

    def has_cached(self, block: PromptBlock) -> bool:
        """Return True if a target has a block of a prompt cached."""
        return any(
            load.cache.has_block(block) for load in self._loads.values()
        )

    def list_healthy(
        self, request: SlotRequest, now_ms: int
    ) -> list[TargetLoad]:
        """Return the targets that may serve a call now, also full ones."""
        return self._list_healthy(request, now_ms)

    def may_be_waited_for(
        self, load: TargetLoad, request: SlotRequest, now_ms: int
    ) -> bool:
        """Return True if a target will take a call once a slot is free.

        That isn't sure while it is faulty, has rejected a call, is out of
        reach, or has a limit on its calls, as cold ones have.
        """
        faults = load.faults
        domain = request.failure_domain
        return (
            load.listed.target in self._listed
            and load.listed.target not in request.excluded
            and now_ms >= load.full_until_ms
            and not faults.is_on_probation
            and not faults.is_absent(now_ms)
            and not faults.is_ejected(now_ms)
            and not faults.is_unreachable_from(domain, now_ms)
            and self._find_rate_per_s(load) is None
        )

    def make_copy(self) -> 'TargetSet':
        """Return a copy to which questions can be put without any effect here.

        Estimates update rates and rooms. Slots in use, faults and caches are
        shared, so that nothing may be recorded in the copy.
        """
        copied = copy.copy(self)
        copied._loads = {}
        for name, load in self._loads.items():
            copied._loads[name] = copied_load = copy.copy(load)
            copied_load.request_rate = copy.copy(load.request_rate)
        return copied

    def explain(
        self, request: SlotRequest, now_ms: int
    ) -> tuple[TargetExplanation, ...]:
        """Return the cost of a call at each target, and why one is out."""
        candidates = {
            load.listed.target for load in self._list_healthy(request, now_ms)
        }
        limit = self.slot_limit
        has_set_room = limit is None or self.held_count < limit
        return tuple(
            explain_target(
                load,
                request,
                TargetState(
                    name in self._listed,
                    name in candidates,
                    self.share,
                    has_set_room,
                    self._find_cold_ms(load),
                    self._find_rate_per_s(load),
                    self._find_rate_wait_ms(load, now_ms),
                ),
                now_ms,
            )
            for name, load in self._loads.items()
        )

    def may_have_free_slot(self) -> bool:
        """Return False if no target has a free slot for any call."""
        limit = self.slot_limit
        if limit is not None and self.held_count >= limit:
            return False
        now_ms = self._clock.now_ms()
        return any(
            len(load.held) < load.count_slots(self.share)
            and not self._find_rate_wait_ms(load, now_ms)
            for load in self._list_present()
        )

    def has_free_slot(self, request: SlotRequest, now_ms: int) -> bool:
        """Return True if a target that may serve a call has a free slot."""
        if not self.may_have_free_slot():
            return False
        return any(
            len(load.held) < load.count_slots(self.share)
            for load in self._list_healthy(request, now_ms)
        )

    def count_healthy_slots(
        self,
        request: SlotRequest,
        now_ms: int,
        hold_ms: float,
        *,
        is_warm: bool = False,
    ) -> float:
        """Return the number of slots of the targets that may serve a call.

        Of a target that names a limit, those that the calls use which it
        allows; at least one in all if there is no such target.

        :param hold_ms: time for which a call holds its slot.
        :param is_warm: True to count cold targets as if they were warm.
        """
        slot_count = 0.0
        is_limited = False
        for load in self._list_healthy(request, now_ms, with_limited=True):
            slots = load.count_expected_slots(self.share)
            rate_per_s = (
                self._find_named_rate_per_s(load)
                if is_warm
                else self._find_rate_per_s(load)
            )
            if rate_per_s is not None:
                is_limited = True
                used_slots = rate_per_s * hold_ms / MILLISECONDS_PER_SECOND
                slots = min(slots, used_slots)
            slot_count += slots
        return slot_count if is_limited else max(1.0, slot_count)

    def find_rate_wait_ms(self, request: SlotRequest, now_ms: int) -> int:
        """Return the time until a target may be sent a call.

        It is above 0 only if all targets that may serve it name a limit.
        """
        return min(
            (
                self._find_rate_wait_ms(load, now_ms)
                for load in self._list_healthy(
                    request, now_ms, with_limited=True
                )
            ),
            default=0,
        )

    def find_warm_ms(self, request: SlotRequest, now_ms: int) -> int | None:
        """Return the time until the first cold target is warm.

        :returns: None if no target is cold that may serve the call.
        """
        if not self._has_cold_rate:
            return None
        left_ms = [
            cold_ms
            for load in self._list_healthy(request, now_ms, with_limited=True)
            if (cold_ms := self._find_cold_ms(load))
        ]
        return min(left_ms, default=None)

    def count_sent(self, load: TargetLoad, now_ms: int) -> None:
        """Count a call that is sent to a target against its limit."""
        rate_per_s = self._find_rate_per_s(load)
        if rate_per_s is not None and load.request_rate is not None:
            load.request_rate.take(now_ms, rate_per_s)

    def estimate_min_first_byte_ms(self, request: SlotRequest) -> float:
        """Return the expected time to the first byte at the best target."""
        return min(
            (
                load.estimate_idle_first_byte_ms(request)
                for name, load in self._loads.items()
                if name in self._listed
            ),
            default=0.0,
        )

    def describe(self) -> list[str]:
        """Return one line of text per target, for logs.

        ``name held/slots slowness`` and marks: ``-`` no longer listed, ``g``
        absent (no longer at its address), ``e`` ejected because of faults,
        ``f`` rejected a call as full, ``c`` cold, ``l`` names a limit or is
        cold, ``u`` unreachable from some failure domain. ``states R+W`` are
        the calls that run and wait there by the target's own newest statement,
        with the time that work takes if it isn't the usual one, and the
        ``further`` calls that it allows.
        """
        now_ms = self._clock.now_ms()
        return [
            f'{name} {len(load.held)}/{load.listed.slots}'
            f' {load.slowness:.2f}{self._format_marks(name, load, now_ms)}'
            f'{load.describe_statement(now_ms)}'
            for name, load in self._loads.items()
        ]

    def record_outcome(
        self,
        load: TargetLoad,
        outcome: SlotOutcome,
        failure_domain: str,
    ) -> None:
        """Update the health of a target from the outcome of a call.

        :param failure_domain: failure domain of the instance that handled the
            call.
        """
        now_ms = self._clock.now_ms()
        match outcome:
            case SlotOutcome.NOT_REACHED:
                self._record_unreachable(load, failure_domain, now_ms)
            case SlotOutcome.GONE:
                load.faults.record_absent(now_ms)
            case SlotOutcome.TURNED_AWAY:
                self._update_room(load, now_ms)
                load.record_rejection(now_ms)
            case SlotOutcome.CALLER_LEFT | SlotOutcome.UNSUITED:
                pass
            case _:
                load.faults.record_reachable(failure_domain)
                is_slow = outcome is SlotOutcome.SILENT
                if not is_slow or not (
                    self._find_cold_ms(load)
                    or load.statement.is_slowed(now_ms)
                ):
                    load.faults.record_answer(outcome.is_fault, now_ms)

    def _format_marks(self, name: str, load: TargetLoad, now_ms: int) -> str:
        marks = {
            '-': name not in self._listed,
            'g': load.faults.is_absent(now_ms),
            'e': load.faults.is_ejected(now_ms),
            'f': now_ms < load.full_until_ms,
            'c': self._find_cold_ms(load) > 0,
            'l': self._find_rate_per_s(load) is not None,
            'u': load.faults.is_unreachable_from_any(now_ms),
        }
        return ''.join(mark for mark, is_set in marks.items() if is_set)

    def _find_rate_per_s(self, load: TargetLoad) -> float | None:
        """Return the calls a second to a target; None for no limit.

        The lower one holds of the limit that it names and of its rate while
        it is cold.
        """
        if not self._named_limits and not self._has_cold_rate:
            return None
        named_per_s = self._find_named_rate_per_s(load)
        cold_per_s = self._find_cold_rate_per_s(load)
        if named_per_s is None:
            return cold_per_s
        return min(named_per_s, cold_per_s or named_per_s)

    def _find_named_rate_per_s(self, load: TargetLoad) -> float | None:
        if not self._named_limits:
            return None
        rate_per_s = self._named_limits.find_rate_per_s(load.listed)
        return None if rate_per_s is None else rate_per_s * self.rate_share

    def _find_cold_rate_per_s(self, load: TargetLoad) -> float | None:
        """Return the calls a second to a cold target; None if it isn't."""
        if self._find_cold_ms(load) <= 0 or self._cold_targets is None:
            return None
        tolerance = self._cold_targets.tolerance
        if self.is_fallback:
            rate_per_s = tolerance.fallback_rate_per_s
        else:
            rate_per_s = tolerance.find_decider_rate_per_s(
                self._profile.cold_rate_per_s, BURST_S
            )
        return max(rate_per_s * self.rate_share, MIN_COLD_RATE_PER_S)

    def _find_cold_ms(self, load: TargetLoad) -> int:
        """Return for how long a target is still cold; 0 if it isn't."""
        if self._cold_targets is None or not self._has_cold_rate:
            return 0
        left_ms = self._cold_targets.find_left_ms(load.listed, self._profile)
        if left_ms:
            load.cold_until_ms = self._clock.now_ms() + left_ms
        return left_ms

    def _find_rate_wait_ms(self, load: TargetLoad, now_ms: int) -> int:
        """Return the time for which the limit of a target allows no call."""
        rate_per_s = self._find_rate_per_s(load)
        if rate_per_s is None:
            load.request_rate = None
            return 0
        if load.request_rate is None:
            load.request_rate = RequestRate(now_ms)
        return load.request_rate.find_wait_ms(now_ms, rate_per_s)

    def _update_room(self, load: TargetLoad, now_ms: int) -> None:
        limits = self._named_limits
        is_brittle = limits is not None and limits.is_brittle(load.listed)
        load.update_room(now_ms, is_brittle=is_brittle)

    def _list_healthy(
        self,
        request: SlotRequest,
        now_ms: int,
        *,
        with_limited: bool = False,
    ) -> list[TargetLoad]:
        """Return the targets that may serve a call.

        Targets that are absent, whose limit allows no call now (unless
        ``with_limited``), that are brittle and have rejected a call lately, or
        at which the call has failed, are left out. Of
        the others, these are the healthy ones. If they are fewer than half,
        ejected and full ones are added. Unreachable ones are added only if
        all are unreachable.
        """
        for load in self._loads.values():
            self._update_room(load, now_ms)
        listed = [
            load
            for name, load in self._loads.items()
            if name in self._listed
            and name not in request.excluded
            and not load.faults.is_absent(now_ms)
            and not (load.is_brittle and now_ms < load.full_until_ms)
            and (with_limited or not self._find_rate_wait_ms(load, now_ms))
        ]
        healthy = [
            load
            for load in listed
            if now_ms >= load.full_until_ms
            and not load.faults.is_ejected(now_ms)
            and not load.faults.is_unreachable_from(
                request.failure_domain, now_ms
            )
        ]
        if 2 * len(healthy) >= len(listed):
            return healthy
        return [
            load
            for load in listed
            if not load.faults.is_unreachable_from(
                request.failure_domain, now_ms
            )
        ] or listed

    @staticmethod
    def estimate_cost(
        load: TargetLoad, request: SlotRequest, first_byte_ms: float
    ) -> float:
        """Return the cost in ms of a call from its start at a target on."""
        first_byte_ms, load_ms, other_domain_ms, fault_factor = split_cost(
            load, request, first_byte_ms
        )
        return (first_byte_ms + load_ms + other_domain_ms) * fault_factor

    def _list_present(self) -> Iterator[TargetLoad]:
        """Yield the targets that are listed and still at their address."""
        now_ms = self._clock.now_ms()
        for name, load in self._loads.items():
            if name in self._listed and not load.faults.is_absent(now_ms):
                yield load

    def _record_unreachable(
        self, load: TargetLoad, failure_domain: str, now_ms: int
    ) -> None:
        """Let a failure domain avoid a target that it failed to connect to.

        If the target's own domain has no reachable instance either, the domain
        is cut off, and all its targets are avoided.
        """
        affected = [load]
        if load.listed.failure_domain in self.unreachable_domains:
            affected = [
                other
                for other in self._loads.values()
                if other.listed.failure_domain == load.listed.failure_domain
            ]
        for other in affected:
            other.faults.record_unreachable(failure_domain, now_ms)
