"""State of a simulated fleet, and how one step of it is executed.

The simulation runs the real decision code for keyed requests on simulated
processes, callers, messages and clocks, and checks that no key is executed
twice. Such a simulated fleet is called a world.

The key of a request is either a ticket, which an instance issued, or a bare
key, which the caller chose. The holder of a key is the instance that records
its claims: the issuer of a ticket, or the owner of a bare key. The seat plan
lists the addresses that own bare keys. A granted claim is a permit to dispatch
the request once.
"""

import collections
import random
from typing import Any
from typing import TypeVar

from lagoonbend.attempts import Admit
from lagoonbend.attempts import Connect
from lagoonbend.attempts import FetchNonce
from lagoonbend.attempts import ReleaseClaim
from lagoonbend.attempts import Replayed
from lagoonbend.attempts import SendClaim
from lagoonbend.attempts import SendRequest
from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import DispatchError
from lagoonbend.exceptions import PeerError
from lagoonbend.models import Call
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import FleetList
from lagoonbend.models import Peer
from lagoonbend.models import RecordedAnswer
from lagoonbend.models import RequestClass
from lagoonbend.models import SeatPlan
from lagoonbend.models import Target
from lagoonbend.models import Verdict
from lagoonbend.routing import Assignment
from lagoonbend.routing import TargetState
from lagoonbend.routing import WorkEstimate
from lagoonbend_devkit._internal.worlds.arrival import Arrival
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes
from lagoonbend_devkit._internal.worlds.message import Message
from lagoonbend_devkit._internal.worlds.offset_clock import OffsetClock
from lagoonbend_devkit._internal.worlds.virtual_attempt import VirtualAttempt
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes

FAILURE_DOMAINS = ('north', 'south')
INSTANCE_COUNT = 4
CUSTOMER = 'office'
CALL_DEADLINE_MS = 30_000
MAX_CLOCK_OFFSET_MS = 1_000_000
BOOKING_CLASS = RequestClass(
    'booking', 'booking', 0, 'service', False, True, CALL_DEADLINE_MS
)
ANSWER = RecordedAnswer(200, '', b'')
NO_WORK = WorkEstimate(0, 0)
TARGET = Target('service', 'service', '127.0.0.1', 1, 'north')
Item = TypeVar('Item')


class ViolationError(AssertionError):
    """A key was executed twice, or a verdict on it was wrong."""


class WorldCore:
    """Simulated processes, callers and messages, and one target.

    Processes that start read one of the plans from ``oldest_plan_index`` on.

    :param seed: seed of all random choices; the same seed repeats the run.
    :param component_types: classes under test; a broken variant replaces one.
    :param times: time windows and limits of the components.
    """

    def __init__(
        self,
        seed: int,
        component_types: ComponentTypes | None = None,
        times: WorldTimes | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.times = times or WorldTimes()
        self.clock = PausedClock()
        self.counts: collections.Counter[str] = collections.Counter()
        self.processes: dict[str, VirtualProcess] = {}
        self.callers: list[VirtualCaller] = []
        self.attempts: list[VirtualAttempt] = []
        self.arrivals: list[Arrival] = []
        self.messages: list[Message] = []
        self.partitioned_domains: set[str] = set()
        self.plans: list[SeatPlan] = []
        self.oldest_plan_index = 0
        self.delivered_count = 0
        self._component_types = component_types or ComponentTypes()
        self.last_id = 0
        self.fleet_list = _build_fleet_list()
        addresses = tuple(peer.address for peer in self.fleet_list.peers)
        # The last instance owns no bare keys: it has no seat.
        self.plans.append(SeatPlan(1, addresses[:-1]))
        for peer in self.fleet_list.peers:
            self.start(peer)

    def deliver_message(self, message: Message) -> None:
        """Deliver a request, or its reply if it was handled already.

        ``message.responder`` is set once the request was handled.
        """
        self.delivered_count += 1
        if message.responder is None:
            responder = self.find_process(message.address)
            message.result = message.handle(responder)
            message.responder = responder
            if message.receive is None:
                self.messages.remove(message)
            return
        self.messages.remove(message)
        if message.receive is not None:
            message.receive(message.result)

    def time_out_attempt(self, attempt: VirtualAttempt) -> None:
        """Let an attempt stop waiting for a reply.

        The message is not removed and may still be delivered.
        """
        attempt.throw(PeerError('no reply from the peer in time'))
        self.record_result(attempt)

    def draw_outcome(self) -> float:
        """Return a number from 0 to 1 that selects the next outcome.

        A connection fails if it is below 0.2. A request is executed if it
        is below 0.9, and its answer arrives if it is below 0.7.
        """
        return self.rng.random()

    def execute_step(self, attempt: VirtualAttempt) -> None:
        """Execute the pending step of an attempt."""
        step = attempt.step
        if isinstance(step, FetchNonce):
            self._run_at_holder(
                attempt, step.holder, lambda p: p.ticket_issuer.issue_nonce()
            )
        elif isinstance(step, SendClaim):
            request = step.request
            self._run_at_holder(
                attempt, step.holder, lambda p: _claim(p, request)
            )
        elif isinstance(step, ReleaseClaim):
            self._release_claim(attempt, step)
        elif isinstance(step, Admit):
            now_ms = attempt.process.clock.now_ms()
            attempt.send(Assignment(TargetState(TARGET), NO_WORK, now_ms))
        elif isinstance(step, Connect):
            self._connect(attempt)
        elif isinstance(step, SendRequest):
            self._dispatch_request(attempt)
        else:
            attempt.send(None)

    def _run_at_holder(
        self, attempt: VirtualAttempt, holder: str | None, handle: Any
    ) -> None:
        """Run ``handle`` at the holder of a key; resume with its result.

        :param holder: peer address of the holder; None if it is the process
            of the attempt, which then needs no message.
        """
        if holder is None:
            attempt.send(handle(attempt.process))
            return

        def receive(result: Any) -> None:
            if attempt.pending_message is message:
                attempt.send(result)
                self.record_result(attempt)

        message = Message(attempt.process, holder, handle, receive)
        attempt.pending_message = message
        self.messages.append(message)

    def _release_claim(
        self, attempt: VirtualAttempt, step: ReleaseClaim
    ) -> None:
        permit = step.permit
        claim_id = (permit.customer, permit.key, permit.attempt)
        if permit.holder is None:
            attempt.process.ledger.release(*claim_id)
        else:
            self.messages.append(
                Message(
                    attempt.process,
                    permit.holder,
                    lambda process: process.ledger.release(*claim_id),
                )
            )
        attempt.send(None)

    def _connect(self, attempt: VirtualAttempt) -> None:
        if self.draw_outcome() < 0.2:
            error = DispatchError('refused', verdict=Verdict.NOT_RUN)
            attempt.throw(error)
        else:
            attempt.send('connection')

    def _dispatch_request(self, attempt: VirtualAttempt) -> None:
        drawn = self.draw_outcome()
        if drawn < 0.9:
            attempt.caller.executions += 1
            self._check_executed_once(attempt)
        if drawn < 0.7:
            attempt.send('response')
            return
        error = DispatchError('reset', verdict=Verdict.MAY_HAVE_RUN)
        attempt.throw(error)

    def record_result(self, attempt: VirtualAttempt) -> None:
        """Record the result of an attempt if it is over, and check it.

        Of the two verdicts of a refusal, ``attempt_verdict`` is about this
        attempt and ``verdict`` about all attempts with the key.
        """
        if not attempt.is_over:
            return
        self.attempts.remove(attempt)
        caller = attempt.caller
        if attempt.refusal is None:
            self._record_success(attempt)
            return
        verdict = attempt.refusal.verdict
        caller.verdicts.append(verdict)
        self.counts[f'refused_{verdict.value}'] += 1
        if verdict is Verdict.MAY_HAVE_RUN and not caller.executions:
            self.counts['may_have_run_said_of_what_did_not'] += 1
        if attempt.refusal.attempt_verdict is Verdict.NOT_RUN:
            self._check(
                not attempt.call_attempt.dispatch_count,
                attempt,
                'attempt was dispatched but reported as not run',
            )
        if verdict is Verdict.NOT_RUN and caller.sends == 1:
            self._check(
                not caller.executions,
                attempt,
                'key was executed but reported as not run',
            )

    def _record_success(self, attempt: VirtualAttempt) -> None:
        attempt_result = attempt.attempt_result
        if isinstance(attempt_result, Replayed):
            self.counts['replayed'] += 1
            self._check(
                attempt.caller.executions == 1,
                attempt,
                'answer was replayed but the key was not executed once',
            )
            return
        self.counts['served'] += 1
        permit = attempt_result.permit
        claim_id = (permit.customer, permit.key, permit.attempt)
        if permit.holder is None:
            attempt.process.ledger.finish(*claim_id, ANSWER)
            return
        self.messages.append(
            Message(
                attempt.process,
                permit.holder,
                lambda process: process.ledger.finish(*claim_id, ANSWER),
            )
        )

    def _check_executed_once(self, attempt: VirtualAttempt) -> None:
        self._check(
            attempt.caller.executions == 1,
            attempt,
            'key was executed more than once',
        )

    def _check(
        self, is_satisfied: bool, attempt: VirtualAttempt, violation: str
    ) -> None:
        if not is_satisfied:
            raise ViolationError(
                f'{violation}: key {attempt.caller.key}, '
                f'attempt {attempt.call_attempt.call.attempt}'
            )

    def read_request(self, arrival: Arrival) -> None:
        """Let a process read a request from an accepted connection.

        The age of the request is unknown if it may have waited in the
        socket's buffer while the process was paused.
        """
        process = arrival.process
        waited_ms = self.clock.now_ms() - arrival.connected_ms
        clock_ms = process.clock.now_ms()
        age_known = process.pause_detector.is_age_known(clock_ms - waited_ms)
        self.last_id += 1
        call = Call(
            f'attempt-{self.last_id}',
            CUSTOMER,
            'POST',
            '/bookings',
            '',
            b'',
            '',  # model
            False,  # streaming
            arrival.caller.key,
            BOOKING_CLASS,
            clock_ms,
            age_known,
            clock_ms + CALL_DEADLINE_MS,
        )
        call_attempt = self._component_types.call_attempt(
            call,
            process.clock,
            process.holder_directory,
            process.retry_budget,
            process.invariants,
            receipt_life_ms=self.times.nonce_life_ms,
        )
        attempt = VirtualAttempt(process, arrival.caller, call_attempt)
        self.attempts.append(attempt)
        self.record_result(attempt)

    def send_request(
        self, caller: VirtualCaller, process: VirtualProcess
    ) -> None:
        """Connect a caller to a process and send its request."""
        caller.sends += 1
        self.arrivals.append(Arrival(process, caller, self.clock.now_ms()))

    def may_repeat(self, caller: VirtualCaller) -> bool:
        """Return True while a caller may send its key again.

        A bare key may be repeated for ``repeat_window_ms`` only.
        """
        if caller.is_ticket:
            return True
        age_ms = self.clock.now_ms() - caller.first_sent_ms
        return age_ms < self.times.repeat_window_ms

    def pass_time(self, span_ms: int) -> None:
        """Advance the clock; running processes expire what is too old.

        The clock moves by half of ``pause_ms`` at most, so that a running
        process does not take the advance for a pause.
        """
        while span_ms > 0:
            chunk_ms = min(span_ms, self.times.pause_ms // 2)
            self.clock.advance(chunk_ms)
            span_ms -= chunk_ms
            for process in self.list_running_processes():
                process.pause_detector.observe()
                process.ledger.expire()
            self._close_late_connections()

    def _close_late_connections(self) -> None:
        """Let running processes close connections that are too old.

        If a pause spans the time limit, the process may read the request
        as soon as it resumes, before it closes the connection.
        """
        oldest_ms = self.clock.now_ms() - self.times.connection_ms
        self.arrivals = [
            arrival
            for arrival in self.arrivals
            if not arrival.process.is_running
            or arrival.connected_ms >= oldest_ms
        ]

    def can_arrive(self, message: Message) -> bool:
        """Return True if a message, or its reply, can be delivered now."""
        receiver = message.responder or self.find_process(message.address)
        if not receiver.is_alive or not message.sender.is_alive:
            return False
        domains = {receiver.failure_domain, message.sender.failure_domain}
        if len(domains) > 1 and domains & self.partitioned_domains:
            return False
        if message.responder is None:
            return receiver.is_running
        return message.sender.is_running

    def find_process(self, address: str) -> VirtualProcess:
        """Return the process that listens on a peer address."""
        return next(
            process
            for process in self.processes.values()
            if process.address == address
        )

    def start(self, peer: Peer) -> None:
        """Start a new process of an instance, with empty memory.

        Its clock gets a new offset, and it reads any seat plan from
        ``oldest_plan_index`` on, which may be out of date.
        """
        self.last_id += 1
        offset_ms = self.rng.randrange(MAX_CLOCK_OFFSET_MS)
        process = VirtualProcess(
            peer.instance,
            peer.address,
            peer.failure_domain,
            self.last_id,
            OffsetClock(self.clock, offset_ms),
            self.times,
            self._component_types,
            self.fleet_list,
        )
        process.apply(self.rng.choice(self.plans[self.oldest_plan_index :]))
        self.processes[peer.instance] = process

    def list_live_processes(self) -> list[VirtualProcess]:
        """Return the processes that were not killed, also if paused."""
        return [p for p in self.processes.values() if p.is_alive]

    def list_running_processes(self) -> list[VirtualProcess]:
        """Return the processes that are neither killed nor paused."""
        return [p for p in self.processes.values() if p.is_running]

    def choose_random(self, items: list[Item]) -> Item | None:
        """Return a random item, or None if there are none."""
        return self.rng.choice(items) if items else None


def _claim(process: VirtualProcess, request: ClaimRequest) -> ClaimReply:
    return process.ledger.claim(request)


def _build_fleet_list() -> FleetList:
    peers = tuple(
        Peer(
            f'instance-{number}',
            '127.0.0.1',
            10_000 + number,
            FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        )
        for number in range(INSTANCE_COUNT)
    )
    return FleetList(1, peers, ())
