"""The targets of a service, or of a pool of it, and the choice among them."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.scheduling.slot_outcome import SlotOutcome
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import FULL_PAUSE_MS
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.utils.clock import Clock

DISTANCE_MS = 10.0
"""What another failure domain costs in the choice of a target, for the
round trip and the head of a request."""
DISTANCE_MS_PER_KB = 2.0
"""What each kilobyte of a body to another failure domain costs; bytes
between domains are priced at the office."""
CROWDING_MS = 40.0
"""What a full target costs against an empty one, for each running call
slows the others down."""


class TargetSet:
    """Listed targets with their places in use and their health.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self.share = 1.0
        self.slot_limit: int | None = None
        self.unreachable_domains: frozenset[str] = frozenset()
        self._clock = clock
        self._loads: dict[str, TargetLoad] = {}
        self._usable: dict[str, ListedTarget] = {}

    @property
    def held_count(self) -> int:
        """Number of places in use."""
        return sum(len(load.held) for load in self._loads.values())

    @property
    def slot_count(self) -> int:
        """Number of places of all targets."""
        return sum(load.listed.slots for load in self._loads.values())

    def update(
        self, profile: ServiceProfile, targets: Iterable[ListedTarget]
    ) -> None:
        """Take in the list; a target that left stays while places are held."""
        listed = {target.target: target for target in targets}
        for name in [name for name in self._loads if name not in listed]:
            if not self._loads[name].held:
                del self._loads[name]
        for name, target in listed.items():
            load = self._loads.get(name)
            if load is None:
                self._loads[name] = TargetLoad(
                    target, profile.is_engine, profile.memory_tokens
                )
            else:
                load.listed = target
        self._usable = listed

    def find(self, name: str) -> TargetLoad | None:
        """Return what is known of a target."""
        return self._loads.get(name)

    def release_call(self, instance: str, call: str) -> None:
        """Free the place of a call, wherever it is."""
        for load in self._loads.values():
            load.release(instance, call)

    def release_instance(self, instance: str) -> None:
        """Free all places of an instance."""
        for load in self._loads.values():
            for key in [key for key in load.held if key[0] == instance]:
                load.release(*key)

    def forget_left(self, name: str) -> None:
        """Drop a target that is no longer listed once nobody holds a place."""
        load = self._loads.get(name)
        if load is not None and name not in self._usable and not load.held:
            del self._loads[name]

    def is_all_gone(self, excluded: Iterable[str]) -> bool:
        """Return True if no target is left for a call.

        :param excluded: targets that have failed the call.
        """
        present = {load.listed.target for load in self._list_present()}
        return not present.difference(excluded)

    def choose(self, request: SlotRequest, now_ms: int) -> TargetLoad | None:
        """Return the best target with a free place, if any."""
        best: TargetLoad | None = None
        best_cost = 0.0
        for load in self._list_sound(request, now_ms):
            if not load.has_place(request, self.share):
                continue
            cost = self._estimate_cost(load, request, now_ms)
            if best is None or cost < best_cost:
                best, best_cost = load, cost
        return best

    def may_have_free_place(self) -> bool:
        """Return False if no target has a place for any call."""
        limit = self.slot_limit
        if limit is not None and self.held_count >= limit:
            return False
        return any(
            len(load.held) < load.count_places(self.share)
            for load in self._list_present()
        )

    def has_free_place(self, request: SlotRequest, now_ms: int) -> bool:
        """Return True if a target that may serve a call has a place."""
        if not self.may_have_free_place():
            return False
        return any(
            len(load.held) < load.count_places(self.share)
            for load in self._list_sound(request, now_ms)
        )

    def count_sound_places(self, request: SlotRequest, now_ms: int) -> float:
        """Return the places of the targets that may serve a call."""
        return sum(
            load.listed.slots * self.share
            for load in self._list_sound(request, now_ms)
        )

    def estimate_least_first_ms(self, request: SlotRequest) -> float:
        """Return the expected time to the first bytes at the best target."""
        return min(
            (
                load.estimate_idle_first_ms(request)
                for name, load in self._loads.items()
                if name in self._usable
            ),
            default=0.0,
        )

    def describe(self) -> list[str]:
        """Return a short text for each target, for logs.

        ``name held/slots slowness`` and marks: ``-`` no longer listed,
        ``g`` gone from its address, ``e`` set aside for faults, ``f`` said
        to be full, ``u`` not reached from some domain.
        """
        now_ms = self._clock.now_ms()
        return [
            f'{name} {len(load.held)}/{load.listed.slots}'
            f' {load.slowness:.2f}{self._mark(name, load, now_ms)}'
            for name, load in self._loads.items()
        ]

    def record_end(
        self,
        load: TargetLoad,
        end: SlotOutcome,
        failure_domain: str,
    ) -> None:
        """Take in what the end of a call tells of its target's health.

        :param failure_domain: domain of the instance that carried it.
        """
        now_ms = self._clock.now_ms()
        match end:
            case SlotOutcome.NOT_REACHED:
                self._note_unreached(load, failure_domain, now_ms)
            case SlotOutcome.GONE:
                load.faults.note_gone(now_ms)
            case SlotOutcome.TURNED_AWAY:
                load.full_until_ms = now_ms + FULL_PAUSE_MS
            case SlotOutcome.CALLER_LEFT | SlotOutcome.UNSUITED:
                pass
            case _:
                load.faults.note_reached(failure_domain)
                load.faults.note_answer(end.is_fault, now_ms)

    def _mark(self, name: str, load: TargetLoad, now_ms: int) -> str:
        marks = {
            '-': name not in self._usable,
            'g': load.faults.is_gone(now_ms),
            'e': load.faults.is_ejected(now_ms),
            'f': now_ms < load.full_until_ms,
            'u': load.faults.is_unreached_anywhere(now_ms),
        }
        return ''.join(mark for mark, is_set in marks.items() if is_set)

    def _list_sound(
        self, request: SlotRequest, now_ms: int
    ) -> list[TargetLoad]:
        """Return targets that are not set aside; all, if none is sound."""
        listed = [
            load
            for name, load in self._loads.items()
            if name in self._usable
            and name not in request.excluded
            and not load.faults.is_gone(now_ms)
        ]
        sound = [
            load
            for load in listed
            if now_ms >= load.full_until_ms
            and not load.faults.is_ejected(now_ms)
            and not load.faults.is_unreached(request.failure_domain, now_ms)
        ]
        if 2 * len(sound) >= len(listed):
            return sound
        return [
            load
            for load in listed
            if not load.faults.is_unreached(request.failure_domain, now_ms)
        ] or listed

    @staticmethod
    def _estimate_cost(
        load: TargetLoad, request: SlotRequest, now_ms: int
    ) -> float:
        cost_ms = load.estimate_first_ms(request, now_ms)
        cost_ms += CROWDING_MS * len(load.held) / load.listed.slots
        if load.listed.failure_domain != request.failure_domain:
            cost_ms += DISTANCE_MS
            cost_ms += DISTANCE_MS_PER_KB * request.body_bytes / 1024
        return cost_ms * (1.0 + 2.0 * load.faults.rate)

    def _list_present(self) -> Iterator[TargetLoad]:
        """Yield the targets that are listed and live at their address."""
        now_ms = self._clock.now_ms()
        for name, load in self._loads.items():
            if name in self._usable and not load.faults.is_gone(now_ms):
                yield load

    def _note_unreached(
        self, load: TargetLoad, failure_domain: str, now_ms: int
    ) -> None:
        """Keep a domain from a target that it could not reach.

        If no instance of the target's domain is heard either, the domain is
        cut off, and the other targets there would not be reached.
        """
        lost = [load]
        if load.listed.failure_domain in self.unreachable_domains:
            lost = [
                other
                for other in self._loads.values()
                if other.listed.failure_domain == load.listed.failure_domain
            ]
        for other in lost:
            other.faults.note_unreached(failure_domain, now_ms)
