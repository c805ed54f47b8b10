"""Faults that strike a fleet from outside."""

from collections.abc import Callable
import random
import signal
import time

import gevent

from lagoonbend_devkit._internal.published import published_fleet
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from lagoonbend_devkit._internal.soak.fault_proxy import ProxyMode
from lagoonbend_devkit._internal.soak.soak_record import Standstill

LONGEST_S = 2.5
"""Longest time that one fault lasts; several overlap in a soak."""
STORE_MODES = ('busy', 'silent', 'gone')
LINK_MODES = (
    ProxyMode.DELAY,
    ProxyMode.SILENT,
    ProxyMode.CUT_TO_SERVER,
    ProxyMode.CUT_TO_CLIENT,
    ProxyMode.REFUSE,
)


class FaultScene:
    """What faults strike, and the luck that they strike with.

    :param fleet: instances, targets and store.
    :param target_links: proxies in front of the targets, by target.
    :param store_link: proxy in front of the store.
    :param seed: decides all faults.
    """

    def __init__(
        self,
        fleet: published_fleet.PublishedFleet,
        target_links: dict[str, FaultProxy],
        store_link: FaultProxy,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.target_links = target_links
        self.store_link = store_link
        self.luck = random.Random(seed)
        self.standstills: list[Standstill] = []

    def draw_instance(self) -> int:
        """Return the number of an instance."""
        return self.luck.randrange(len(self.fleet.processes))

    def draw_target_link(self) -> FaultProxy:
        """Return the link of a target."""
        names = sorted(self.target_links)
        return self.target_links[self.luck.choice(names)]

    def draw_time_s(self) -> float:
        """Return how long a fault lasts."""
        return self.luck.uniform(0.05, LONGEST_S)


Fault = Callable[[FaultScene], None]
SOAK_FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it returns when it is over."""

    def register(fault: Fault) -> Fault:
        SOAK_FAULTS[name] = fault
        return fault

    return register


@register_fault('kill_instance')
def kill_instance(scene: FaultScene) -> None:
    """SIGKILL an instance and start it again."""
    number, pause_s = scene.draw_instance(), scene.draw_time_s()
    scene.fleet.processes[number].kill()
    gevent.sleep(pause_s)
    scene.fleet.restart_instance(number)


@register_fault('stop_instance')
def stop_instance(scene: FaultScene) -> None:
    """SIGTERM an instance and start it again once it has ended."""
    number = scene.draw_instance()
    process = scene.fleet.processes[number]
    process.send(signal.SIGTERM)
    while process.is_running:
        gevent.sleep(0.1)
    scene.fleet.restart_instance(number)


@register_fault('pause_instance')
def pause_instance(scene: FaultScene) -> None:
    """Let an instance stand still."""
    number, pause_s = scene.draw_instance(), scene.draw_time_s()
    process = scene.fleet.processes[number]
    from_s = time.monotonic()
    process.send(signal.SIGSTOP)
    gevent.sleep(pause_s)
    process.send(signal.SIGCONT)
    scene.standstills.append(Standstill(number, from_s, time.monotonic()))


@register_fault('reload_instance')
def reload_instance(scene: FaultScene) -> None:
    """SIGHUP an instance."""
    scene.fleet.processes[scene.draw_instance()].send(signal.SIGHUP)


@register_fault('harm_target_link')
def harm_target_link(scene: FaultScene) -> None:
    """Delay, silence, cut or refuse the connections to a target."""
    link, pause_s = scene.draw_target_link(), scene.draw_time_s()
    link.mode = scene.luck.choice(LINK_MODES)
    gevent.sleep(pause_s)
    link.mode = ProxyMode.PASS


@register_fault('reset_target_link')
def reset_target_link(scene: FaultScene) -> None:
    """Reset the connections to a target."""
    scene.draw_target_link().reset_all()


@register_fault('harm_store')
def harm_store(scene: FaultScene) -> None:
    """Let the store turn all away, fall silent or drop its history."""
    mode, pause_s = scene.luck.choice(STORE_MODES), scene.draw_time_s()
    scene.fleet.store.mode = mode
    gevent.sleep(pause_s)
    scene.fleet.store.mode = 'ok'


@register_fault('harm_store_link')
def harm_store_link(scene: FaultScene) -> None:
    """Harm the connections to the store."""
    mode, pause_s = scene.luck.choice(LINK_MODES), scene.draw_time_s()
    scene.store_link.mode = mode
    gevent.sleep(pause_s)
    scene.store_link.mode = ProxyMode.PASS
    scene.store_link.reset_all()


@register_fault('change_configuration')
def change_configuration(scene: FaultScene) -> None:
    """Publish the next version."""
    scene.fleet.publish()


@register_fault('drain_target')
def drain_target(scene: FaultScene) -> None:
    """Register a target as draining, and as ready again."""
    name = scene.luck.choice(sorted(scene.target_links))
    pause_s = scene.draw_time_s()
    service = name.partition('-')[0]
    scene.fleet.register(name, service, 'draining')
    gevent.sleep(pause_s)
    scene.fleet.register(name, service)
