"""One attempt to serve a call, from its claim to its dispatch."""

from collections.abc import Generator
from typing import Any

from lagoonbend._internal.attempts import refusals
from lagoonbend._internal.attempts.dispatched import AttemptResult
from lagoonbend._internal.attempts.dispatched import Dispatched
from lagoonbend._internal.attempts.dispatched import Replayed
from lagoonbend._internal.attempts.retry_budget import RetryBudget
from lagoonbend._internal.attempts.step import Step
from lagoonbend._internal.attempts.steps.admit import Admit
from lagoonbend._internal.attempts.steps.close import CloseConnection
from lagoonbend._internal.attempts.steps.connect import Connect
from lagoonbend._internal.attempts.steps.fetch_nonce import FetchNonce
from lagoonbend._internal.attempts.steps.release_claim import ReleaseClaim
from lagoonbend._internal.attempts.steps.release_target import ReleaseTarget
from lagoonbend._internal.attempts.steps.send_claim import SendClaim
from lagoonbend._internal.attempts.steps.send_request import SendRequest
from lagoonbend._internal.claims.holder_directory import HolderDirectory
from lagoonbend._internal.claims.ticket import is_ticket
from lagoonbend._internal.exceptions import CallerGoneError
from lagoonbend._internal.exceptions import DispatchError
from lagoonbend._internal.exceptions import PeerError
from lagoonbend._internal.exceptions import RefusedError
from lagoonbend._internal.models.call import Call
from lagoonbend._internal.models.claim_decision import ClaimDecision
from lagoonbend._internal.models.claim_reply import ClaimReply
from lagoonbend._internal.models.claim_request import ClaimRequest
from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.verdict import Verdict
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.fingerprint import fingerprint
from lagoonbend._internal.utils.invariants import Invariants

MAX_CLAIM_SENDS = 2
"""Times that a claim is sent to the holder of its key. Sending it again is
safe, as the holder grants the key to the same attempt again."""
MAX_UNSENT_TRIES = 3
"""Targets that are tried without sending the request, because the connection
failed or came too late, before the call is refused."""
MAX_ASSIGNMENT_AGE_MS = 2_000
"""Age of the choice of a target beyond which another target is chosen."""

Steps = Generator[Step, Any, AttemptResult]


class CallAttempt:
    """One attempt to serve a call.

    This class does no I/O. ``run`` is a generator of steps; its caller
    performs each step and sends the result, or throws the error, back into
    the generator. All rules on what may be dispatched are here and in
    ``ClaimLedger``.

    :param call: the call.
    :param clock: clock of this instance.
    :param directory: finds holders of keys.
    :param budget: limits the number of repeated dispatches.
    :param invariants: checks that must always hold.
    :param receipt_life_ms: maximum time from the receipt of a bare key to
        the arrival of its owner's nonce.
    """

    def __init__(
        self,
        call: Call,
        clock: Clock,
        directory: HolderDirectory,
        budget: RetryBudget,
        invariants: Invariants,
        *,
        receipt_life_ms: int,
    ) -> None:
        self.call = call
        self.verdict = Verdict.NOT_RUN
        self.dispatch_count = 0
        self.target = ''
        self._clock = clock
        self._directory = directory
        self._budget = budget
        self._invariants = invariants
        self._receipt_life_ms = receipt_life_ms

    @property
    def dispatch_id(self) -> str:
        """Identifier of the latest dispatch."""
        return f'{self.call.attempt}.{self.dispatch_count}'

    def run(self) -> Steps:
        """Yield the steps; return the result of the attempt.

        :raises RefusedError: if the call is refused.
        """
        permit = None
        if self.call.key is not None:
            reply, permit = yield from self._claim(self.call.key)
            if reply.answer is not None:
                return Replayed(reply.answer)
            if reply.decision is not ClaimDecision.GRANTED:
                raise refusals.refuse_claim(reply)
        elif self.call.request_class.key_required:
            raise refusals.refuse_key_required()
        try:
            return (yield from self._dispatch(permit))
        except RefusedError as error:
            if self.verdict is not Verdict.NOT_RUN:
                raise refusals.with_verdict(error, self.verdict) from error
            if permit is not None:
                yield ReleaseClaim(permit)
            raise
        except CallerGoneError:
            if permit is not None and self.verdict is Verdict.NOT_RUN:
                yield ReleaseClaim(permit)
            raise

    def complete(self) -> None:
        """Record that the whole answer was received."""
        self.verdict = Verdict.RAN

    def _claim(
        self, key: str
    ) -> Generator[Step, Any, tuple[ClaimReply, Permit]]:
        holder = self._directory.find(key)
        call = self.call
        permit = Permit(holder, call.customer, key, call.attempt)
        nonce = ''
        try:
            if not is_ticket(key):
                self._check_age()
                nonce = yield FetchNonce(holder)
                self._check_age()
            request = ClaimRequest(
                call.customer, key, call.attempt, fingerprint(call), nonce
            )
            reply = yield from self._send_claim(holder, request)
        except PeerError as error:
            yield ReleaseClaim(permit)
            raise refusals.refuse_unreachable_owner() from error
        except CallerGoneError:
            yield ReleaseClaim(permit)
            raise
        return reply, permit

    def _check_age(self) -> None:
        age_ms = self._clock.now_ms() - self.call.received_ms
        if not self.call.age_known or age_ms >= self._receipt_life_ms:
            raise refusals.refuse_age_unknown()

    def _send_claim(
        self, holder: str | None, request: ClaimRequest
    ) -> Generator[Step, Any, ClaimReply]:
        for _ in range(MAX_CLAIM_SENDS - 1):
            try:
                return (yield SendClaim(holder, request))
            except PeerError:
                continue
        return (yield SendClaim(holder, request))

    def _dispatch(self, permit: Permit | None) -> Steps:
        unsent_tries = 0
        while unsent_tries < MAX_UNSENT_TRIES:
            assignment = yield Admit()
            try:
                response = yield from self._try_target(assignment)
            except DispatchError as error:
                yield ReleaseTarget(assignment, True)
                if error.verdict is Verdict.NOT_RUN:
                    unsent_tries += 1
                elif not self._may_retry():
                    raise self._refuse_failed() from error
            except (RefusedError, CallerGoneError):
                yield ReleaseTarget(assignment, False)
                raise
            else:
                return Dispatched(assignment, response, permit)
        raise refusals.refuse_failed(
            'No target could be connected to.', self.verdict
        )

    def _try_target(
        self, assignment: Assignment
    ) -> Generator[Step, Any, object]:
        connection = yield Connect(assignment)
        if self._is_deadline_passed():
            yield CloseConnection(connection)
            raise refusals.refuse_deadline_passed()
        if (
            self._clock.now_ms() - assignment.started_ms
            > MAX_ASSIGNMENT_AGE_MS
        ):
            yield CloseConnection(connection)
            raise DispatchError(
                'the choice of the target is too old',
                verdict=Verdict.NOT_RUN,
                context=self.call.attempt,
            )
        self._begin_dispatch(assignment)
        return (yield SendRequest(connection, self.dispatch_id))

    def _is_deadline_passed(self) -> bool:
        return self._clock.now_ms() >= self.call.deadline_ms

    def _refuse_failed(self) -> RefusedError:
        if self._is_deadline_passed():
            return refusals.refuse_deadline_passed()
        return refusals.refuse_failed(
            'The target gave no answer.', self.verdict
        )

    def _begin_dispatch(self, assignment: Assignment) -> None:
        if not self.dispatch_count:
            self._budget.earn()
        self.target = assignment.state.target.target
        self.dispatch_count += 1
        self.verdict = Verdict.MAY_HAVE_RUN
        self._invariants.check(
            not assignment.state.target.leaving,
            'no_new_work_for_leaving_targets',
            self.target,
        )
        self._invariants.check(
            self.dispatch_count == 1 or self.call.request_class.idempotent,
            'dispatched_at_most_once',
            self.dispatch_id,
        )

    def _may_retry(self) -> bool:
        if (
            not self.call.request_class.idempotent
            or self._is_deadline_passed()
        ):
            return False
        return self.dispatch_count == 1 and self._budget.spend()
