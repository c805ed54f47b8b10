"""Builds the errors that refuse a request, one function per cause."""

from lagoonbend._internal.exceptions import RefusedError
from lagoonbend._internal.models.claim_decision import ClaimDecision
from lagoonbend._internal.models.claim_reply import ClaimReply
from lagoonbend._internal.models.refusal import Refusal
from lagoonbend._internal.models.refusal_code import RefusalCode
from lagoonbend._internal.models.verdict import Verdict

SHORT_RETRY_AFTER_MS = 1_000
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN

CLAIM_REFUSALS = {
    ClaimDecision.IN_PROGRESS: (
        409,
        RefusalCode.KEY_IN_PROGRESS,
        'An earlier attempt with this key has not ended or its end is '
        'unknown.',
    ),
    ClaimDecision.FINISHED: (
        409,
        RefusalCode.KEY_FINISHED,
        'This key has run; its answer is no longer kept.',
    ),
    ClaimDecision.MISMATCH: (
        422,
        RefusalCode.KEY_REUSED,
        'This key was used with another request.',
    ),
    ClaimDecision.EXPIRED: (
        410,
        RefusalCode.KEY_EXPIRED,
        'This key can no longer be used; take a new ticket.',
    ),
    ClaimDecision.UNKNOWN: (
        503,
        RefusalCode.KEY_UNKNOWN,
        'The holder of this key can not show that the key is new.',
    ),
    ClaimDecision.NOT_OWNER: (
        503,
        RefusalCode.KEY_UNKNOWN,
        'The owner of this key is changing.',
    ),
}


def refuse(
    status: int,
    code: RefusalCode,
    detail: str,
    *,
    verdict: Verdict = NOT_RUN,
    attempt_verdict: Verdict = NOT_RUN,
    retry_after_ms: int | None = None,
) -> RefusedError:
    """Return the error that makes the instance refuse a request."""
    refusal = Refusal(
        status, code, detail, attempt_verdict, verdict, retry_after_ms
    )
    return RefusedError(refusal)


def with_verdict(error: RefusedError, verdict: Verdict) -> RefusedError:
    """Return the refusal of an attempt whose earlier dispatch may have run.

    The verdict in ``error`` takes only the cause of the refusal into account,
    not the earlier dispatch.
    """
    refusal = error.refusal._replace(verdict=verdict, attempt_verdict=verdict)
    return RefusedError(refusal)


def refuse_claim(reply: ClaimReply) -> RefusedError:
    """Return the refusal for a claim that was not granted."""
    status, code, detail = CLAIM_REFUSALS[reply.decision]
    retry_after_ms = None
    if reply.decision is ClaimDecision.IN_PROGRESS:
        retry_after_ms = SHORT_RETRY_AFTER_MS
    return refuse(
        status,
        code,
        detail,
        verdict=reply.verdict,
        retry_after_ms=retry_after_ms,
    )


def refuse_unreachable_owner() -> RefusedError:
    """Return the refusal for a key whose holder can't be reached."""
    return refuse(
        503,
        RefusalCode.KEY_OWNER_UNREACHABLE,
        'The holder of this key can not be reached; an earlier attempt '
        'with the key may have run.',
        verdict=MAY_HAVE_RUN,
        retry_after_ms=SHORT_RETRY_AFTER_MS,
    )


def refuse_age_unknown() -> RefusedError:
    """Return the refusal for a bare key of unknown or too great age."""
    return refuse(
        503,
        RefusalCode.KEY_UNKNOWN,
        'The request may have waited in a paused instance, so that its key '
        'can not be shown to be new.',
        verdict=MAY_HAVE_RUN,
        retry_after_ms=SHORT_RETRY_AFTER_MS,
    )


def refuse_key_required() -> RefusedError:
    """Return the refusal for a call without the key that it needs."""
    return refuse(
        428,
        RefusalCode.KEY_REQUIRED,
        'This call needs an Idempotency-Key: use the ticket in '
        'Lagoonbend-Next-Ticket.',
    )


def refuse_over_limit(retry_after_ms: int) -> RefusedError:
    """Return the refusal for a customer that is over its limit."""
    return refuse(
        429,
        RefusalCode.CUSTOMER_LIMIT,
        'The customer has used up its limit.',
        retry_after_ms=retry_after_ms,
    )


def refuse_no_target(retry_after_ms: int) -> RefusedError:
    """Return the refusal for a request that no target can serve."""
    return refuse(
        503,
        RefusalCode.NO_TARGET,
        'No target serves this request now.',
        retry_after_ms=retry_after_ms,
    )


def refuse_deadline_passed() -> RefusedError:
    """Return the refusal for a request whose deadline has passed."""
    return refuse(
        504,
        RefusalCode.DEADLINE_PASSED,
        'The deadline passed before the answer began.',
        retry_after_ms=SHORT_RETRY_AFTER_MS,
    )


def refuse_no_time_left(retry_after_ms: int) -> RefusedError:
    """Return the refusal for a call that can no longer finish in time."""
    return refuse(
        503,
        RefusalCode.NO_TIME_LEFT,
        'No target got room while the answer could still come in time.',
        retry_after_ms=retry_after_ms,
    )


def refuse_queue_full(retry_after_ms: int) -> RefusedError:
    """Return the refusal for a request that finds the queue full."""
    return refuse(
        503,
        RefusalCode.QUEUE_FULL,
        'As many requests of this or a more urgent tier wait as can.',
        retry_after_ms=retry_after_ms,
    )


def refuse_displaced(retry_after_ms: int) -> RefusedError:
    """Return the refusal for a request displaced by a more urgent one."""
    return refuse(
        503,
        RefusalCode.DISPLACED,
        'A request of a more urgent tier took the place.',
        retry_after_ms=retry_after_ms,
    )


def refuse_failed(detail: str, verdict: Verdict) -> RefusedError:
    """Return the refusal for a request whose dispatch failed."""
    return refuse(
        502,
        RefusalCode.TARGET_FAILED,
        detail,
        verdict=verdict,
        attempt_verdict=verdict,
        retry_after_ms=SHORT_RETRY_AFTER_MS if verdict is NOT_RUN else None,
    )


def refuse_incomplete() -> RefusedError:
    """Return the refusal for an answer that was cut off."""
    return refuse(
        502,
        RefusalCode.INCOMPLETE_ANSWER,
        'The target ended its answer before the end.',
        verdict=MAY_HAVE_RUN,
        attempt_verdict=MAY_HAVE_RUN,
    )


def refuse_malformed(detail: str) -> RefusedError:
    """Return the refusal for a request that can't be parsed."""
    return refuse(400, RefusalCode.MALFORMED, detail)
