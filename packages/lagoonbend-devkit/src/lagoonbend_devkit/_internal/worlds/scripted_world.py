"""A claim world that is moved step by step."""

from lagoonbend_devkit._internal.worlds.arrival import Arrival
from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.part_types import PartTypes
from lagoonbend_devkit._internal.worlds.virtual_attempt import VirtualAttempt
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess
from lagoonbend_devkit._internal.worlds.world_core import CUSTOMER

GREATEST_ROUNDS = 200
SUCCESS = 0.5
LOST_ANSWER = 0.8


class ScriptedWorld(ClaimWorld):
    """A world without chance: every connection and request succeeds.

    :param types: classes of the parts.
    """

    def __init__(self, types: PartTypes | None = None) -> None:
        super().__init__(0, types)
        self.fate = SUCCESS
        self.holding = False
        plan = self.plans[0]
        for process in self.processes.values():
            process.apply(plan)
        self.wait_out_quarantine()

    def draw(self) -> float:
        """Return the fate that was set."""
        return self.fate

    def wait_out_quarantine(self) -> None:
        """Let the quarantine after a start pass."""
        times = self.times
        self.pass_time(
            times.repeat_window_ms
            + times.connection_ms
            + times.pause_ms
            + 2 * times.nonce_life_ms
            + times.confirm_ms
        )

    def process(self, number: int) -> VirtualProcess:
        """Return the process that now runs an instance."""
        return self.processes[f'instance-{number}']

    def find_owner_number(self, key: str) -> int:
        """Return the number of the instance that owns a bare key."""
        owner = self.process(0).ownership.find_owner(key)
        return next(n for n in range(4) if self.process(n).address == owner)

    def new_caller(self, *, home: int | None = None) -> VirtualCaller:
        """Return a caller with a bare key, or a ticket of ``home``."""
        key = f'key-{len(self.callers)}'
        if home is not None:
            key = self.process(home).ticket_issuer.issue(CUSTOMER).to_text()
        caller = VirtualCaller(key, home is not None, self.clock.now_ms())
        self.callers.append(caller)
        return caller

    def arrive(self, caller: VirtualCaller, number: int) -> Arrival:
        """Let a caller's request reach an instance, unread."""
        self.send(caller, self.process(number))
        return self.arrivals[-1]

    def begin(self, arrival: Arrival) -> VirtualAttempt | None:
        """Let the instance read the request; None if it closed it."""
        self.arrivals.remove(arrival)
        known = len(self.attempts)
        self.read(arrival)
        if len(self.attempts) > known:
            return self.attempts[-1]
        return None

    def advance(self, attempt: VirtualAttempt) -> None:
        """Carry out the pending step and deliver what it sends."""
        if attempt.waits_for is None:
            self.carry_out(attempt)
        if not self.holding:
            self.deliver_all()
        self.settle_if_new(attempt)

    def settle_if_new(self, attempt: VirtualAttempt) -> None:
        """Note the end of an attempt once."""
        if attempt in self.attempts:
            self.settle(attempt)

    def run_to(self, attempt: VirtualAttempt, step: type) -> bool:
        """Advance to a step; return False if the attempt ended before."""
        for _ in range(GREATEST_ROUNDS):
            if isinstance(attempt.step, step):
                return True
            if attempt.is_over or attempt.waits_for is not None:
                return False
            self.advance(attempt)
        return False

    def deliver_all(self) -> None:
        """Deliver every message that can go now."""
        for _ in range(GREATEST_ROUNDS):
            ready = [m for m in self.messages if self.can_go(m)]
            if not ready:
                return
            self.deliver_one(ready[0])

    def finish(self, attempt: VirtualAttempt) -> None:
        """Run an attempt to its end; time out what gets no answer."""
        for _ in range(GREATEST_ROUNDS):
            if attempt.is_over or not attempt.process.is_running:
                return
            if attempt.waits_for is not None:
                self.deliver_all()
                if attempt.waits_for is not None:
                    self.give_up_waiting(attempt)
                continue
            self.advance(attempt)

    def call(self, caller: VirtualCaller, number: int) -> VirtualAttempt:
        """Send, read and finish a request through an instance."""
        attempt = self.begin(self.arrive(caller, number))
        if attempt is None:
            raise AssertionError('the request was refused when read')
        self.finish(attempt)
        return attempt
