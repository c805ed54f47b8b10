"""A simulated fleet driven by random actions and faults.

Calls, repeats, kills, pauses and network partitions are interleaved at
random with the real code for claims.
"""

from lagoonbend.models import SeatPlan
from lagoonbend_devkit._internal.worlds.action import action
from lagoonbend_devkit._internal.worlds.action import ACTIONS
from lagoonbend_devkit._internal.worlds.message import Message
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.world_core import CUSTOMER
from lagoonbend_devkit._internal.worlds.world_core import FAILURE_DOMAINS
from lagoonbend_devkit._internal.worlds.world_core import INSTANCE_COUNT
from lagoonbend_devkit._internal.worlds.world_core import WorldCore


class ClaimWorld(WorldCore):
    """A simulated fleet whose actions are chosen at random from a seed.

    :param seed: seed of all random choices; the same seed repeats the run.
    :param component_types: classes under test; a broken variant replaces one.
    :param times: time windows and limits of the components.
    """

    def run(self, steps: int) -> None:
        """Try ``steps`` random actions; impossible ones are skipped.

        :raises ViolationError: if a key is executed more than once, or a
            caller gets a wrong verdict.
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
        process = self.choose_random(self.list_live_processes())
        if process is None:
            return False
        self.last_id += 1
        is_ticket = self.rng.random() < 0.4
        if is_ticket and not process.is_running:
            return False
        key = f'key-{self.last_id}'
        if is_ticket:
            key = process.ticket_issuer.issue(CUSTOMER).to_text()
        caller = VirtualCaller(key, is_ticket, self.clock.now_ms())
        self.callers.append(caller)
        self.send_request(
            caller, self.choose_random(self.list_live_processes()) or process
        )
        return True

    @action(30)
    def repeat(self) -> bool:
        """A caller repeats a request, through any instance."""
        caller = self.choose_random(
            [item for item in self.callers if self.may_repeat(item)]
        )
        process = self.choose_random(self.list_live_processes())
        if caller is None or process is None:
            return False
        self.send_request(caller, process)
        return True

    @action(60)
    def read_arrival(self) -> bool:
        """A running process reads a request from an accepted connection."""
        arrival = self.choose_random(
            [item for item in self.arrivals if item.process.is_running]
        )
        if arrival is None:
            return False
        self.arrivals.remove(arrival)
        self.read_request(arrival)
        return True

    @action(300)
    def advance_attempt(self) -> bool:
        """An attempt executes its pending step."""
        attempt = self.choose_random(
            [
                item
                for item in self.attempts
                if item.process.is_running and item.pending_message is None
            ]
        )
        if attempt is None:
            return False
        self.execute_step(attempt)
        self.record_result(attempt)
        return True

    @action(250)
    def deliver(self) -> bool:
        """A message or its reply is delivered."""
        message = self.choose_random(
            [m for m in self.messages if self.can_arrive(m)]
        )
        if message is None:
            return False
        self.deliver_message(message)
        return True

    @action(8)
    def time_out(self) -> bool:
        """An attempt stops waiting; its message may still be delivered."""
        attempt = self.choose_random(
            [
                item
                for item in self.attempts
                if item.process.is_running and item.pending_message is not None
            ]
        )
        if attempt is None:
            return False
        self.time_out_attempt(attempt)
        return True

    @action(3)
    def lose(self) -> bool:
        """A message is lost."""
        message = self.choose_random(self.messages)
        if message is None:
            return False
        self.messages.remove(message)
        return True

    @action(60)
    def advance_little(self) -> bool:
        """The clock advances by up to 150 ms."""
        self.pass_time(self.rng.randint(1, 150))
        return True

    @action(3)
    def advance_much(self) -> bool:
        """The clock advances by an eighth to all of the repeat window."""
        window_ms = self.times.repeat_window_ms
        self.pass_time(self.rng.randint(window_ms // 8, window_ms))
        return True

    @action(3)
    def pause(self) -> bool:
        """A process is paused."""
        process = self.choose_random(self.list_running_processes())
        if process is None:
            return False
        process.is_paused = True
        return True

    @action(5)
    def resume(self) -> bool:
        """A paused process resumes with outdated state."""
        process = self.choose_random(
            [p for p in self.list_live_processes() if p.is_paused]
        )
        if process is None:
            return False
        process.is_paused = False
        return True

    @action(2)
    def kill(self) -> bool:
        """A process is killed and loses its memory."""
        process = self.choose_random(self.list_live_processes())
        if process is None:
            return False
        process.is_alive = False
        self.attempts = [a for a in self.attempts if a.process != process]
        self.arrivals = [a for a in self.arrivals if a.process != process]
        self.messages = [m for m in self.messages if m.sender != process]
        return True

    @action(4)
    def restart(self) -> bool:
        """A killed instance restarts with empty memory."""
        dead = [
            peer
            for peer in self.fleet_list.peers
            if not self.processes[peer.instance].is_alive
        ]
        peer = self.choose_random(dead)
        if peer is None:
            return False
        self.start(peer)
        return True

    @action(2)
    def cut(self) -> bool:
        """A failure domain is partitioned from the others, or rejoins them."""
        self.partitioned_domains ^= {self.rng.choice(FAILURE_DOMAINS)}
        return True

    @action(1)
    def publish_plan(self) -> bool:
        """The operators move the bare keys to other seats."""
        newest = self.plans[-1]
        addresses = [peer.address for peer in self.fleet_list.peers]
        self.rng.shuffle(addresses)
        seats = tuple(sorted(addresses[: INSTANCE_COUNT - 1]))
        former = (*newest.former, newest.seats)
        self.plans.append(SeatPlan(newest.epoch + 1, seats, former))
        return True

    @action(1)
    def settle_plan(self) -> bool:
        """The operators remove the former seats from the plan.

        This is possible once every live process has reached the epoch of
        the newest plan; from then on, processes start with that plan or a
        later one.
        """
        newest = self.plans[-1]
        live = self.list_live_processes()
        if any(p.ownership.epoch < newest.epoch for p in live):
            return False
        self.oldest_plan_index = len(self.plans) - 1
        plan = SeatPlan(newest.epoch + 1, newest.seats)
        self.plans.append(plan)
        return True

    @action(6)
    def read_plan(self) -> bool:
        """A process reads a seat plan, which may be out of date."""
        process = self.choose_random(self.list_running_processes())
        if process is None:
            return False
        process.apply(self.rng.choice(self.plans[self.oldest_plan_index :]))
        return True

    @action(50)
    def exchange(self) -> bool:
        """A process asks an instance for its epoch of the seat plan."""
        process = self.choose_random(self.list_running_processes())
        if process is None:
            return False
        peer = self.rng.choice(self.fleet_list.peers)
        asked_ms = process.clock.now_ms()
        self.messages.append(
            Message(
                process,
                peer.address,
                lambda responder: responder.ownership.epoch,
                lambda epoch: process.ownership.record_epoch(
                    peer.address, epoch, asked_ms
                ),
            )
        )
        return True
