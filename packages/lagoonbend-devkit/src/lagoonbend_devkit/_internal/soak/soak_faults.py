"""Faults that are injected into a fleet from outside."""

from collections.abc import Callable
import copy
import math
import random
import signal
import time

import gevent
import gevent.lock

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.cold_period import ColdPeriod
from lagoonbend_devkit._internal.soak.cut_period import CutPeriod
from lagoonbend_devkit._internal.soak.drained_period import DrainedPeriod
from lagoonbend_devkit._internal.soak.evacuated_period import EvacuatedPeriod
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.fault_proxy import ProxyMode
from lagoonbend_devkit._internal.soak.instance_event import InstanceEvent
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.limited_period import LimitedPeriod
from lagoonbend_devkit._internal.soak.link_fault import LinkFault
from lagoonbend_devkit._internal.soak.soak_record import PausedPeriod
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.target_period import TargetPeriod

MAX_FAULT_DURATION_S = 2.5
"""Longest duration of a fault; several faults overlap in a soak."""
STOP_INTERVAL_S = (0.3, 1.5)
"""Range of the time between two SIGTERMs of a series. A drain lasts longer, so
that several instances drain at a time."""
SERIES_INTERVAL_S = (0.1, 0.3)
"""Range of the time between two SIGHUPs, or two changes, of a series."""
MAX_CHANGE_COUNT = 5
SILENCE_S = 1.0
"""Silence of a sound target that the users' rules count as no trouble."""
ASKED_PAUSE_S = (0.7, 2.5)
"""Range of the pause that a target asks for."""
SHEDDING_S = (0.05, 0.3)
"""Range of the time for which such a target turns all requests away."""
ENGINE_SERVICE = 'chat'
PLAIN_SERVICE = 'desk'
RELEASE_INTERVAL_S = (0.5, 1.5)
"""Range of the time between two steps of a release."""
TARGET_DRAIN_S = 4.0
"""Time until a draining target is removed; longer than the time-out of the
routes, so that its streams have ended."""
COPY_AGE_S = (1.0, 5.0)
"""Range of the age of the copy from which the store comes back."""
MAX_REWRITE_S = 1.9
"""Longest time until what the copy lacks is written again; the users' pages
give about two seconds."""
STORE_FAULT_MODES = ('busy', 'silent', 'gone')
PROXY_FAULT_MODES = (
    ProxyMode.DELAY,
    ProxyMode.SILENT,
    ProxyMode.CUT_TO_SERVER,
    ProxyMode.CUT_TO_CLIENT,
    ProxyMode.REFUSE,
)


class FaultContext:
    """What all faults share: the fleet and the source of random choices.

    :param fleet: instances, targets and store.
    :param target_proxies: proxies in front of the targets, by target name.
    :param store_proxy: proxy in front of the store.
    :param seed: seed of all random choices.
    :param fault_period_s: time during which faults are injected.
    """

    def __init__(
        self,
        fleet: gateway_fleet.GatewayFleet,
        target_proxies: dict[str, FaultProxy],
        store_proxy: FaultProxy,
        seed: int,
        fault_period_s: float,
    ) -> None:
        self.fleet = fleet
        self.target_proxies = target_proxies
        self.store_proxy = store_proxy
        self.seed = seed
        self.fault_period_s = fault_period_s
        self.rng = random.Random(seed)
        self.paused_periods: list[PausedPeriod] = []
        self.events: list[InstanceEvent] = []
        self.drained_periods: list[DrainedPeriod] = []
        self.configuration_times_s: list[float] = []
        self.store_faults: list[LinkFault] = []
        self.serving_targets = sorted(target_proxies)
        self.target_periods = {
            name: TargetPeriod(
                name.partition('-')[0], fleet.targets[name].version
            )
            for name in target_proxies
        }
        self.release_lock = gevent.lock.BoundedSemaphore()
        self.born_ms: dict[str, int] = {}
        self.restore_lock = gevent.lock.BoundedSemaphore()
        self.crash_lock = gevent.lock.BoundedSemaphore()
        self.crashing_calls: list[SoakCall] = []
        self.request_crash_lock = gevent.lock.BoundedSemaphore()
        self.limited_periods: list[LimitedPeriod] = []
        self.cut_periods: list[CutPeriod] = []
        self.evacuated_periods: list[EvacuatedPeriod] = []
        self.cold_periods: list[ColdPeriod] = []
        self.restorations: list[LinkFault] = []
        fleet.on_crash = self.record_end
        fleet.on_restart = self._record_restart

    def record_end(self, name: str) -> None:
        """Record that a target is ready no more, unless it was recorded."""
        period = self.target_periods[name]
        self.target_periods[name] = period._replace(
            end_s=min(period.end_s, time.monotonic())
        )

    def start_spares(self, service: str, count: int) -> None:
        """Start further targets of a service, unless they were started."""
        for number in range(count):
            name = f'{service}-spare{number}'
            if name in self.target_periods:
                return
            target = self.fleet.add_target(name, service)
            self.target_periods[name] = TargetPeriod(
                service, target.version, time.monotonic()
            )

    def _record_restart(self, name: str, new_name: str) -> None:
        self.target_periods[new_name] = self.target_periods[name]._replace(
            start_s=time.monotonic(), end_s=math.inf
        )
        if name in self.serving_targets:
            number = self.serving_targets.index(name)
            self.serving_targets[number] = new_name

    def record_event(self, instance: int, kind: InstanceEventKind) -> None:
        """Record what is about to be done to an instance."""
        self.events.append(InstanceEvent(instance, kind, time.monotonic()))

    def choose_instance(self) -> int:
        """Return the number of a random instance."""
        return self.rng.randrange(len(self.fleet.processes))

    def choose_target_proxy(self) -> FaultProxy:
        """Return the proxy in front of a random target."""
        return self.target_proxies[self.rng.choice(self.serving_targets)]

    def choose_duration_s(self) -> float:
        """Return a random duration of a fault."""
        return self.rng.uniform(0.05, MAX_FAULT_DURATION_S)

    def with_group(self, group: str) -> 'FaultContext':
        """Return a context with the same records and other random choices."""
        context = copy.copy(self)
        context.rng = random.Random(f'{self.seed}/{group}')
        return context


FaultFunction = Callable[[FaultContext], None]
SINGLE = 'single'
"""Group of the faults that existed before groups did. A fault that is added
belongs to another group, so that kept seeds inject the same faults again."""
SERIES = 'series'
RELEASE = 'release'
SHEDDING = 'shedding'
RESTORE = 'restore'
CRASHING = 'crashing'
CRASHING_REQUESTS = 'crashing_requests'
LINKS = 'links'
LIMITS = 'limits'
EVACUATIONS = 'evacuations'
COLD = 'cold'
SOAK_FAULTS: dict[str, dict[str, FaultFunction]] = {
    SINGLE: {},
    SERIES: {},
    RELEASE: {},
    SHEDDING: {},
    RESTORE: {},
    CRASHING: {},
    CRASHING_REQUESTS: {},
    LINKS: {},
    LIMITS: {},
    EVACUATIONS: {},
    COLD: {},
}


def register_fault(
    name: str, group: str = SINGLE
) -> Callable[[FaultFunction], FaultFunction]:
    """Register a function that injects a fault and returns when it is over.

    The faults of each group are chosen independently of those of the others.
    """

    def register(fault: FaultFunction) -> FaultFunction:
        SOAK_FAULTS[group][name] = fault
        return fault

    return register


@register_fault('kill_instance')
def kill_instance(context: FaultContext) -> None:
    """Kill an instance with SIGKILL and start it again."""
    number, duration_s = context.choose_instance(), context.choose_duration_s()
    context.record_event(number, InstanceEventKind.KILLED)
    context.fleet.processes[number].kill()
    gevent.sleep(duration_s)
    context.fleet.restart_instance(number)


@register_fault('stop_instance')
def stop_instance(context: FaultContext) -> None:
    """Stop an instance with SIGTERM; start it again once it has ended."""
    _stop_and_restart(context, context.choose_instance())


def _stop_and_restart(context: FaultContext, number: int) -> None:
    process = context.fleet.processes[number]
    context.record_event(number, InstanceEventKind.STOPPED)
    process.send(signal.SIGTERM)
    while process.is_running:
        gevent.sleep(0.1)
    context.fleet.restart_instance(number)


@register_fault('pause_instance')
def pause_instance(context: FaultContext) -> None:
    """Pause an instance with SIGSTOP."""
    number, duration_s = context.choose_instance(), context.choose_duration_s()
    process = context.fleet.processes[number]
    start_s = time.monotonic()
    process.send(signal.SIGSTOP)
    gevent.sleep(duration_s)
    process.send(signal.SIGCONT)
    context.paused_periods.append(
        PausedPeriod(number, start_s, time.monotonic())
    )


@register_fault('reload_instance')
def reload_instance(context: FaultContext) -> None:
    """Send SIGHUP to an instance."""
    _reload(context, context.choose_instance())


def _reload(context: FaultContext, number: int) -> None:
    context.record_event(number, InstanceEventKind.RELOADED)
    context.fleet.processes[number].send(signal.SIGHUP)


@register_fault('harm_target_link')
def harm_target_link(context: FaultContext) -> None:
    """Delay, discard, cut or refuse the traffic to a target."""
    proxy, duration_s = (
        context.choose_target_proxy(),
        context.choose_duration_s(),
    )
    proxy.mode = context.rng.choice(PROXY_FAULT_MODES)
    gevent.sleep(duration_s)
    proxy.mode = ProxyMode.PASS


@register_fault('reset_target_link')
def reset_target_link(context: FaultContext) -> None:
    """Reset the connections to a target."""
    context.choose_target_proxy().reset_all()


@register_fault('harm_store')
def harm_store(context: FaultContext) -> None:
    """Let the store reject all requests, not answer or drop its history."""
    mode, duration_s = (
        context.rng.choice(STORE_FAULT_MODES),
        context.choose_duration_s(),
    )
    start_s = time.monotonic()
    context.fleet.store.mode = mode
    gevent.sleep(duration_s)
    context.fleet.store.mode = 'ok'
    context.store_faults.append(LinkFault(start_s, time.monotonic()))


@register_fault('harm_store_link')
def harm_store_link(context: FaultContext) -> None:
    """Delay, discard, cut or refuse the traffic to the store."""
    mode, duration_s = (
        context.rng.choice(PROXY_FAULT_MODES),
        context.choose_duration_s(),
    )
    start_s = time.monotonic()
    context.store_proxy.mode = mode
    gevent.sleep(duration_s)
    context.store_proxy.mode = ProxyMode.PASS
    context.store_proxy.reset_all()
    context.store_faults.append(LinkFault(start_s, time.monotonic()))


@register_fault('change_configuration')
def change_configuration(context: FaultContext) -> None:
    """Publish the next version of the configuration."""
    _change_configuration(context)


def _change_configuration(
    context: FaultContext, *, is_varied: bool = False
) -> None:
    context.configuration_times_s.append(time.monotonic())
    context.fleet.publish_configuration(is_varied=is_varied)


@register_fault('drain_target')
def drain_target(context: FaultContext) -> None:
    """Register a target as draining, then as ready again."""
    name = context.rng.choice(context.serving_targets)
    duration_s = context.choose_duration_s()
    service, version, *_ = context.target_periods[name]
    start_s = time.monotonic()
    born_ms = context.born_ms.get(name, gateway_fleet.FIRST_BORN_MS)
    context.fleet.register_target(name, service, 'draining', version, born_ms)
    gevent.sleep(duration_s)
    begins_life = context.target_periods[name].end_s == math.inf
    if begins_life:
        # A target that leaves comes back as another life only.
        context.born_ms[name] = born_ms + 1
        context.fleet.register_target(
            name, service, version=version, born_ms=born_ms + 1
        )
    context.drained_periods.append(
        DrainedPeriod(name, start_s, time.monotonic(), begins_life)
    )


@register_fault('silence_target', SERIES)
def silence_target(context: FaultContext) -> None:
    """Let a sound target write nothing for a while, then go on."""
    name = context.rng.choice(context.serving_targets)
    context.fleet.targets[name].silence(SILENCE_S)


@register_fault('stop_in_series', SERIES)
def stop_in_series(context: FaultContext) -> None:
    """Stop all instances, one after the other, and start them again."""
    stop_greenlets = []
    for number in range(len(context.fleet.processes)):
        stop_greenlets.append(gevent.spawn(_stop_and_restart, context, number))
        gevent.sleep(context.rng.uniform(*STOP_INTERVAL_S))
    gevent.joinall(stop_greenlets, raise_error=True)


@register_fault('reload_in_series', SERIES)
def reload_in_series(context: FaultContext) -> None:
    """Send SIGHUP to all instances, one after the other."""
    for number in range(len(context.fleet.processes)):
        _reload(context, number)
        gevent.sleep(context.rng.uniform(*SERIES_INTERVAL_S))


@register_fault('change_in_series', SERIES)
def change_in_series(context: FaultContext) -> None:
    """Move routes to another service and back in quick succession."""
    for number in range(context.rng.randint(2, MAX_CHANGE_COUNT)):
        _change_configuration(context, is_varied=number % 2 == 0)
        gevent.sleep(context.rng.uniform(*SERIES_INTERVAL_S))


@register_fault('ask_for_pause', SHEDDING)
def ask_for_pause(context: FaultContext) -> None:
    """Let a target turn requests away for a moment and ask for a pause."""
    target = context.fleet.targets[context.rng.choice(context.serving_targets)]
    pause_s = context.rng.uniform(*ASKED_PAUSE_S)
    target.retry_after_values = [f'{pause_s:.3f}']
    gevent.sleep(context.rng.uniform(*SHEDDING_S))
    target.retry_after_values = []


@register_fault('release', RELEASE)
def release(context: FaultContext) -> None:
    """Replace the engines by engines of the next version.

    The new ones start one by one, or all of them, before an old one drains.
    Two versions serve meanwhile; the old ones are removed later.
    """
    with context.release_lock:
        # An engine may end, and have another name when its turn comes.
        numbers = [
            number
            for number, name in enumerate(context.serving_targets)
            if context.target_periods[name].service == ENGINE_SERVICE
        ]
        versions = {item.version for item in context.target_periods.values()}
        version = f'v{len(versions) + 1}'
        step_size = context.rng.randint(1, len(numbers))
        remove_greenlets = []
        for start in range(0, len(numbers), step_size):
            step_names = []
            for number in numbers[start : start + step_size]:
                step_names.append(context.serving_targets[number])
                _start_replacement(context, number, version)
                gevent.sleep(context.rng.uniform(*RELEASE_INTERVAL_S))
            for name in step_names:
                remove_greenlets.append(
                    gevent.spawn(_drain_and_remove, context, name)
                )
                gevent.sleep(context.rng.uniform(*RELEASE_INTERVAL_S))
    gevent.joinall(remove_greenlets, raise_error=True)


@register_fault('restore_store', RESTORE)
def restore_store(context: FaultContext) -> None:
    """Let the store come back from an older copy; all is written again."""
    with context.restore_lock:
        age_s = context.rng.uniform(*COPY_AGE_S)
        start_s = time.monotonic()
        store = context.fleet.store
        copied_s = store.restore(age_s, context.rng.uniform(0.1, 1.0))
        gevent.sleep(context.rng.uniform(0.0, MAX_REWRITE_S))
        store.write_again()
        end_s = time.monotonic()
        context.store_faults.append(LinkFault(start_s, end_s))
        context.restorations.append(LinkFault(start_s, end_s))
        # The store had lost these registrations.
        context.drained_periods.extend(
            DrainedPeriod(name, start_s, end_s)
            for name, period in context.target_periods.items()
            if copied_s <= period.start_s <= end_s
        )
        context.drained_periods.extend(
            DrainedPeriod(period.target, start_s, end_s)
            for period in list(context.drained_periods)
            if period.end_s >= copied_s
        )


def _start_replacement(
    context: FaultContext, number: int, version: str
) -> None:
    """Start a target that takes the place of another one in later faults."""
    new_name = f'{ENGINE_SERVICE}-{number}-{version}'
    context.fleet.add_target(new_name, ENGINE_SERVICE, version)
    context.target_periods[new_name] = TargetPeriod(
        ENGINE_SERVICE, version, time.monotonic()
    )
    context.serving_targets[number] = new_name


def _drain_and_remove(context: FaultContext, name: str) -> None:
    service, version, *_ = context.target_periods[name]
    context.record_end(name)
    born_ms = context.born_ms.get(name, gateway_fleet.FIRST_BORN_MS)
    context.fleet.register_target(name, service, 'draining', version, born_ms)
    gevent.sleep(TARGET_DRAIN_S)
    context.fleet.remove_target(name)
