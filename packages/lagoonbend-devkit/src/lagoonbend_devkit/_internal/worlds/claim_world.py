"""Interleaves kills, pauses, cuts and repeats with real claims."""

from lagoonbend.models import SeatPlan
from lagoonbend_devkit._internal.worlds.action import action
from lagoonbend_devkit._internal.worlds.action import ACTIONS
from lagoonbend_devkit._internal.worlds.message import Message
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.world_core import CUSTOMER
from lagoonbend_devkit._internal.worlds.world_core import DOMAINS
from lagoonbend_devkit._internal.worlds.world_core import INSTANCES
from lagoonbend_devkit._internal.worlds.world_core import WorldCore


class ClaimWorld(WorldCore):
    """A world that is moved by seeded actions.

    :param seed: replays the run.
    :param types: classes of the parts; a broken variant replaces one.
    :param times: windows and bounds.
    """

    def run(self, steps: int) -> None:
        """Let ``steps`` random actions happen.

        :raises WorldError: if a promise is broken.
        """
        names = list(ACTIONS)
        weights = [ACTIONS[name].weight for name in names]
        for _ in range(steps):
            name = self.rng.choices(names, weights)[0]
            if ACTIONS[name].run(self):
                self.counts[name] += 1

    @action(24)
    def send_fresh(self) -> bool:
        """A caller sends a request for the first time."""
        process = self.pick(self.live())
        if process is None:
            return False
        self.numbers += 1
        is_ticket = self.rng.random() < 0.4
        if is_ticket and not process.is_running:
            return False
        key = f'key-{self.numbers}'
        if is_ticket:
            key = process.ticket_issuer.issue(CUSTOMER).to_text()
        caller = VirtualCaller(key, is_ticket, self.clock.now_ms())
        self.callers.append(caller)
        self.send(caller, self.pick(self.live()) or process)
        return True

    @action(30)
    def repeat(self) -> bool:
        """A caller repeats a request, through any instance."""
        caller = self.pick(
            [item for item in self.callers if self.may_repeat(item)]
        )
        process = self.pick(self.live())
        if caller is None or process is None:
            return False
        self.send(caller, process)
        return True

    @action(60)
    def read_arrival(self) -> bool:
        """A running process reads a request that has arrived."""
        arrival = self.pick(
            [item for item in self.arrivals if item.process.is_running]
        )
        if arrival is None:
            return False
        self.arrivals.remove(arrival)
        self.read(arrival)
        return True

    @action(300)
    def advance_attempt(self) -> bool:
        """An attempt goes one step on."""
        attempt = self.pick(
            [
                item
                for item in self.attempts
                if item.process.is_running and item.waits_for is None
            ]
        )
        if attempt is None:
            return False
        self.carry_out(attempt)
        self.settle(attempt)
        return True

    @action(250)
    def deliver(self) -> bool:
        """A question or an answer arrives."""
        message = self.pick([m for m in self.messages if self.can_go(m)])
        if message is None:
            return False
        self.deliver_one(message)
        return True

    @action(8)
    def time_out(self) -> bool:
        """An attempt stops waiting; its question stays on its way."""
        attempt = self.pick(
            [
                item
                for item in self.attempts
                if item.process.is_running and item.waits_for is not None
            ]
        )
        if attempt is None:
            return False
        self.give_up_waiting(attempt)
        return True

    @action(3)
    def lose(self) -> bool:
        """A message is lost."""
        message = self.pick(self.messages)
        if message is None:
            return False
        self.messages.remove(message)
        return True

    @action(60)
    def advance_little(self) -> bool:
        """Some milliseconds pass."""
        self.pass_time(self.rng.randint(1, 150))
        return True

    @action(3)
    def advance_much(self) -> bool:
        """A good part of the repeat window passes."""
        window_ms = self.times.repeat_window_ms
        self.pass_time(self.rng.randint(window_ms // 8, window_ms))
        return True

    @action(3)
    def pause(self) -> bool:
        """A process stands still."""
        process = self.pick(self.running())
        if process is None:
            return False
        process.is_paused = True
        return True

    @action(5)
    def resume(self) -> bool:
        """A process wakes up, still believing old facts."""
        process = self.pick([p for p in self.live() if p.is_paused])
        if process is None:
            return False
        process.is_paused = False
        return True

    @action(2)
    def kill(self) -> bool:
        """A process dies with its memory."""
        process = self.pick(self.live())
        if process is None:
            return False
        process.is_alive = False
        self.attempts = [a for a in self.attempts if a.process != process]
        self.arrivals = [a for a in self.arrivals if a.process != process]
        self.messages = [m for m in self.messages if m.sender != process]
        return True

    @action(4)
    def restart(self) -> bool:
        """A dead instance starts with empty memory."""
        dead = [
            peer
            for peer in self.fleet_list.peers
            if not self.processes[peer.instance].is_alive
        ]
        peer = self.pick(dead)
        if peer is None:
            return False
        self.start(peer)
        return True

    @action(2)
    def cut(self) -> bool:
        """A failure domain is cut off, or comes back."""
        self.cut_domains ^= {self.rng.choice(DOMAINS)}
        return True

    @action(1)
    def publish_plan(self) -> bool:
        """The operators give the bare keys to other seats."""
        newest = self.plans[-1]
        addresses = [peer.address for peer in self.fleet_list.peers]
        self.rng.shuffle(addresses)
        seats = tuple(sorted(addresses[: INSTANCES - 1]))
        former = (*newest.former, newest.seats)
        self.plans.append(SeatPlan(newest.epoch + 1, seats, former))
        return True

    @action(1)
    def settle_plan(self) -> bool:
        """The operators drop former seats that no process can start from."""
        newest = self.plans[-1]
        live = self.live()
        if any(p.ownership.epoch < newest.epoch for p in live):
            return False
        self.oldest_plan = len(self.plans) - 1
        plan = SeatPlan(newest.epoch + 1, newest.seats)
        self.plans.append(plan)
        return True

    @action(6)
    def read_plan(self) -> bool:
        """A process reads a plan, fresh or stale."""
        process = self.pick(self.running())
        if process is None:
            return False
        process.apply(self.rng.choice(self.plans[self.oldest_plan :]))
        return True

    @action(50)
    def exchange(self) -> bool:
        """A process asks another which epoch it is in."""
        process = self.pick(self.running())
        if process is None:
            return False
        peer = self.rng.choice(self.fleet_list.peers)
        asked_ms = process.clock.now_ms()
        self.messages.append(
            Message(
                process,
                peer.address,
                lambda answerer: answerer.ownership.epoch,
                lambda epoch: process.ownership.record_epoch(
                    peer.address, epoch, asked_ms
                ),
            )
        )
        return True
