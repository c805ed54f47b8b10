"""What a claim world consists of, and how its steps are carried out."""

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
from lagoonbend_devkit._internal.worlds.message import Message
from lagoonbend_devkit._internal.worlds.offset_clock import OffsetClock
from lagoonbend_devkit._internal.worlds.part_types import PartTypes
from lagoonbend_devkit._internal.worlds.virtual_attempt import VirtualAttempt
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess
from lagoonbend_devkit._internal.worlds.world_times import WorldTimes

DOMAINS = ('north', 'south')
INSTANCES = 4
CUSTOMER = 'office'
CALL_LIFE_MS = 30_000
GREATEST_OFFSET_MS = 1_000_000
BOOKING = RequestClass(
    'booking', 'booking', 0, 'service', False, True, CALL_LIFE_MS
)
ANSWER = RecordedAnswer(200, '', b'')
NO_WORK = WorkEstimate(0, 0)
TARGET = Target('service', 'service', '127.0.0.1', 1, 'north')
Item = TypeVar('Item')


class WorldError(AssertionError):
    """A promise was broken in a world."""


class WorldCore:
    """Processes, callers, messages and one target.

    :param seed: replays the run.
    :param types: classes of the parts; a broken variant replaces one.
    :param times: windows and bounds.
    """

    def __init__(
        self,
        seed: int,
        types: PartTypes | None = None,
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
        self.cut_domains: set[str] = set()
        self.plans: list[SeatPlan] = []
        self.oldest_plan = 0
        self.delivered = 0
        self._types = types or PartTypes()
        self.numbers = 0
        self.fleet_list = _build_fleet_list()
        addresses = tuple(peer.address for peer in self.fleet_list.peers)
        self.plans.append(SeatPlan(1, addresses[:-1]))
        for peer in self.fleet_list.peers:
            self.start(peer)

    def deliver_one(self, message: Message) -> None:
        """Let a question or an answer arrive."""
        self.delivered += 1
        if message.answerer is None:
            answerer = self.find_process(message.address)
            message.result = message.run(answerer)
            message.answerer = answerer
            if message.receive is None:
                self.messages.remove(message)
            return
        self.messages.remove(message)
        if message.receive is not None:
            message.receive(message.result)

    def give_up_waiting(self, attempt: VirtualAttempt) -> None:
        """Time an attempt's question out; it stays on its way."""
        attempt.throw(PeerError('no answer in time'))
        self.settle(attempt)

    def draw(self) -> float:
        """Return the fate of a connection or request, from 0 to 1."""
        return self.rng.random()

    def carry_out(self, attempt: VirtualAttempt) -> None:
        """Carry out the pending step of an attempt."""
        step = attempt.step
        if isinstance(step, FetchNonce):
            self._ask(
                attempt, step.holder, lambda p: p.ticket_issuer.issue_nonce()
            )
        elif isinstance(step, SendClaim):
            request = step.request
            self._ask(attempt, step.holder, lambda p: _decide(p, request))
        elif isinstance(step, ReleaseClaim):
            self._release(attempt, step)
        elif isinstance(step, Admit):
            now_ms = attempt.process.clock.now_ms()
            attempt.send(Assignment(TargetState(TARGET), NO_WORK, now_ms))
        elif isinstance(step, Connect):
            self._connect(attempt)
        elif isinstance(step, SendRequest):
            self._write(attempt)
        else:
            attempt.send(None)

    def _ask(
        self, attempt: VirtualAttempt, holder: str | None, run: Any
    ) -> None:
        if holder is None:
            attempt.send(run(attempt.process))
            return

        def receive(result: Any) -> None:
            if attempt.waits_for is message:
                attempt.send(result)
                self.settle(attempt)

        message = Message(attempt.process, holder, run, receive)
        attempt.waits_for = message
        self.messages.append(message)

    def _release(self, attempt: VirtualAttempt, step: ReleaseClaim) -> None:
        permit = step.permit
        name = (permit.customer, permit.key, permit.attempt)
        if permit.holder is None:
            attempt.process.ledger.release(*name)
        else:
            self.messages.append(
                Message(
                    attempt.process,
                    permit.holder,
                    lambda process: process.ledger.release(*name),
                )
            )
        attempt.send(None)

    def _connect(self, attempt: VirtualAttempt) -> None:
        if self.draw() < 0.2:
            error = DispatchError('refused', verdict=Verdict.NOT_RUN)
            attempt.throw(error)
        else:
            attempt.send('connection')

    def _write(self, attempt: VirtualAttempt) -> None:
        fate = self.draw()
        if fate < 0.9:
            attempt.caller.executions += 1
            self._check_once(attempt)
        if fate < 0.7:
            attempt.send('response')
            return
        error = DispatchError('reset', verdict=Verdict.MAY_HAVE_RUN)
        attempt.throw(error)

    def settle(self, attempt: VirtualAttempt) -> None:
        """Note the end of an attempt, if it is over."""
        if not attempt.is_over:
            return
        self.attempts.remove(attempt)
        caller = attempt.caller
        if attempt.refusal is None:
            self._end(attempt)
            return
        verdict = attempt.refusal.verdict
        caller.verdicts.append(verdict)
        self.counts[f'refused_{verdict.value}'] += 1
        if verdict is Verdict.MAY_HAVE_RUN and not caller.executions:
            self.counts['may_have_run_said_of_what_did_not'] += 1
        if attempt.refusal.attempt_verdict is Verdict.NOT_RUN:
            self._check(
                not attempt.call_attempt.dispatch_count, attempt, 'ran'
            )
        if verdict is Verdict.NOT_RUN and caller.sends == 1:
            self._check(not caller.executions, attempt, 'key ran')

    def _end(self, attempt: VirtualAttempt) -> None:
        outcome = attempt.outcome
        if isinstance(outcome, Replayed):
            self.counts['replayed'] += 1
            self._check(attempt.caller.executions == 1, attempt, 'not run')
            return
        self.counts['served'] += 1
        permit = outcome.permit
        name = (permit.customer, permit.key, permit.attempt)
        if permit.holder is None:
            attempt.process.ledger.finish(*name, ANSWER)
            return
        self.messages.append(
            Message(
                attempt.process,
                permit.holder,
                lambda process: process.ledger.finish(*name, ANSWER),
            )
        )

    def _check_once(self, attempt: VirtualAttempt) -> None:
        self._check(attempt.caller.executions == 1, attempt, 'ran twice')

    def _check(self, holds: bool, attempt: VirtualAttempt, what: str) -> None:
        if not holds:
            raise WorldError(
                f'{what}: key {attempt.caller.key}, '
                f'attempt {attempt.call_attempt.call.attempt}'
            )

    def read(self, arrival: Arrival) -> None:
        """Let a process read a request that has arrived."""
        process = arrival.process
        waited_ms = self.clock.now_ms() - arrival.connected_ms
        clock_ms = process.clock.now_ms()
        age_known = process.pauses.is_age_known(clock_ms - waited_ms)
        self.numbers += 1
        call = Call(
            f'attempt-{self.numbers}',
            CUSTOMER,
            'POST',
            '/bookings',
            '',
            b'',
            '',
            False,
            arrival.caller.key,
            BOOKING,
            clock_ms,
            age_known,
            clock_ms + CALL_LIFE_MS,
        )
        call_attempt = self._types.call_attempt(
            call,
            process.clock,
            process.directory,
            process.budget,
            process.invariants,
            receipt_life_ms=self.times.nonce_life_ms,
        )
        attempt = VirtualAttempt(process, arrival.caller, call_attempt)
        self.attempts.append(attempt)
        self.settle(attempt)

    def send(self, caller: VirtualCaller, process: VirtualProcess) -> None:
        """Put a caller's request on its way to a process."""
        caller.sends += 1
        self.arrivals.append(Arrival(process, caller, self.clock.now_ms()))

    def may_repeat(self, caller: VirtualCaller) -> bool:
        """Return True while a caller may send its key again."""
        if caller.is_ticket:
            return True
        age_ms = self.clock.now_ms() - caller.first_sent_ms
        return age_ms < self.times.repeat_window_ms

    def pass_time(self, span_ms: int) -> None:
        """Let time pass; running processes notice it."""
        while span_ms > 0:
            part_ms = min(span_ms, self.times.pause_ms // 2)
            self.clock.advance(part_ms)
            span_ms -= part_ms
            for process in self.running():
                process.pauses.observe()
                process.ledger.expire()
            self._close_late_connections()

    def _close_late_connections(self) -> None:
        """Let running processes close connections that took too long.

        A pause may span the end of that time; the request can then be read
        on waking, before the process notices how late it is.
        """
        oldest_ms = self.clock.now_ms() - self.times.connection_ms
        self.arrivals = [
            arrival
            for arrival in self.arrivals
            if not arrival.process.is_running
            or arrival.connected_ms >= oldest_ms
        ]

    def can_go(self, message: Message) -> bool:
        """Return True if a message can arrive now."""
        holder = message.answerer or self.find_process(message.address)
        if not holder.is_alive or not message.sender.is_alive:
            return False
        domains = {holder.failure_domain, message.sender.failure_domain}
        if len(domains) > 1 and domains & self.cut_domains:
            return False
        if message.answerer is None:
            return holder.is_running
        return message.sender.is_running

    def find_process(self, address: str) -> VirtualProcess:
        """Return the process that holds an address."""
        return next(
            process
            for process in self.processes.values()
            if process.address == address
        )

    def start(self, peer: Peer) -> None:
        """Start an instance with empty memory."""
        self.numbers += 1
        offset_ms = self.rng.randrange(GREATEST_OFFSET_MS)
        process = VirtualProcess(
            peer.instance,
            peer.address,
            peer.failure_domain,
            self.numbers,
            OffsetClock(self.clock, offset_ms),
            self.times,
            self._types,
            self.fleet_list,
        )
        process.apply(self.rng.choice(self.plans[self.oldest_plan :]))
        self.processes[peer.instance] = process

    def live(self) -> list[VirtualProcess]:
        """Return the processes that were not killed."""
        return [p for p in self.processes.values() if p.is_alive]

    def running(self) -> list[VirtualProcess]:
        """Return the processes that can act."""
        return [p for p in self.processes.values() if p.is_running]

    def pick(self, items: list[Item]) -> Item | None:
        """Return one of some items by chance; None if there is none."""
        return self.rng.choice(items) if items else None


def _decide(process: VirtualProcess, request: ClaimRequest) -> ClaimReply:
    return process.ledger.claim(request)


def _build_fleet_list() -> FleetList:
    peers = tuple(
        Peer(
            f'instance-{number}',
            '127.0.0.1',
            10_000 + number,
            DOMAINS[number % len(DOMAINS)],
        )
        for number in range(INSTANCES)
    )
    return FleetList(1, peers, ())
