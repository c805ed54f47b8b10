"""A simulated fleet that a test controls step by step."""

from lagoonbend_devkit._internal.worlds.arrival import Arrival
from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.virtual_attempt import VirtualAttempt
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess
from lagoonbend_devkit._internal.worlds.world_core import CUSTOMER

MAX_ROUNDS = 200
# Outcomes as ``draw_outcome`` defines them.
SUCCESS_DRAW = 0.5
LOST_ANSWER_DRAW = 0.8


class ScriptedWorld(ClaimWorld):
    """A simulated fleet without randomness.

    Every connection and request succeeds unless a test sets ``fixed_draw``.
    While ``delays_messages`` is set, ``advance`` delivers no messages.

    :param component_types: classes under test.
    """

    def __init__(self, component_types: ComponentTypes | None = None) -> None:
        super().__init__(0, component_types)
        self.fixed_draw = SUCCESS_DRAW
        self.delays_messages = False
        plan = self.plans[0]
        for process in self.processes.values():
            process.apply(plan)
        self.wait_out_quarantine()

    def draw_outcome(self) -> float:
        """Return the number that was set; see the base class."""
        return self.fixed_draw

    def wait_out_quarantine(self) -> None:
        """Advance the clock past the quarantine of a started instance.

        Until then it accepts no bare keys, since an earlier process at its
        address may have accepted them.
        """
        times = self.times
        self.pass_time(
            times.repeat_window_ms
            + times.connection_ms
            + times.pause_ms
            + 2 * times.nonce_life_ms
            + times.confirm_ms
        )

    def process(self, number: int) -> VirtualProcess:
        """Return the current process of an instance."""
        return self.processes[f'instance-{number}']

    def find_owner_number(self, key: str) -> int:
        """Return the number of the instance that owns a bare key."""
        owner = self.process(0).ownership.find_owner(key)
        return next(n for n in range(4) if self.process(n).address == owner)

    def new_caller(self, *, home: int | None = None) -> VirtualCaller:
        """Return a caller with a bare key or a ticket of ``home``."""
        key = f'key-{len(self.callers)}'
        if home is not None:
            key = self.process(home).ticket_issuer.issue(CUSTOMER).to_text()
        caller = VirtualCaller(key, home is not None, self.clock.now_ms())
        self.callers.append(caller)
        return caller

    def arrive(self, caller: VirtualCaller, number: int) -> Arrival:
        """Connect a caller to an instance, which does not read yet."""
        self.send_request(caller, self.process(number))
        return self.arrivals[-1]

    def begin(self, arrival: Arrival) -> VirtualAttempt | None:
        """Let the instance read the request and start an attempt.

        :returns: the attempt, or None if it was refused at once.
        """
        self.arrivals.remove(arrival)
        known_count = len(self.attempts)
        self.read_request(arrival)
        if len(self.attempts) > known_count:
            return self.attempts[-1]
        return None

    def advance(self, attempt: VirtualAttempt) -> None:
        """Execute the pending step and deliver the messages it sends."""
        if attempt.pending_message is None:
            self.execute_step(attempt)
        if not self.delays_messages:
            self.deliver_all()
        self.record_result_once(attempt)

    def record_result_once(self, attempt: VirtualAttempt) -> None:
        """Record the result of an attempt unless it was recorded before."""
        if attempt in self.attempts:
            self.record_result(attempt)

    def run_to(self, attempt: VirtualAttempt, step: type) -> bool:
        """Advance to a step; return False if it was not reached."""
        for _ in range(MAX_ROUNDS):
            if isinstance(attempt.step, step):
                return True
            if attempt.is_over or attempt.pending_message is not None:
                return False
            self.advance(attempt)
        return False

    def deliver_all(self) -> None:
        """Deliver messages until none can be delivered."""
        for _ in range(MAX_ROUNDS):
            ready = [m for m in self.messages if self.can_arrive(m)]
            if not ready:
                return
            self.deliver_message(ready[0])

    def finish(self, attempt: VirtualAttempt) -> None:
        """Run an attempt to its end; time out requests without a reply."""
        for _ in range(MAX_ROUNDS):
            if attempt.is_over or not attempt.process.is_running:
                return
            if attempt.pending_message is not None:
                self.deliver_all()
                if attempt.pending_message is not None:
                    self.time_out_attempt(attempt)
                continue
            self.advance(attempt)

    def call(self, caller: VirtualCaller, number: int) -> VirtualAttempt:
        """Send a request to an instance and run it to its end."""
        attempt = self.begin(self.arrive(caller, number))
        if attempt is None:
            raise AssertionError('request was refused when it was read')
        self.finish(attempt)
        return attempt
