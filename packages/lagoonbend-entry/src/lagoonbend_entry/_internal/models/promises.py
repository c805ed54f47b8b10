"""What the status of an answer tells callers about their call."""

PROMISE_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell callers that a call has not run and never will."""
CALLER_ERROR_STATUSES = range(400, 500)


def promises_not_run(status: int) -> bool:
    """Return True if a status tells callers that a call has not run."""
    return status in PROMISE_STATUSES


def is_unrun_refusal(status: int, *, is_signed: bool) -> bool:
    """Return True if an instance refuses a call that it has not run.

    Its other failures don't say whether the call has run.

    :param is_signed: True if a target has signed the answer.
    """
    return not is_signed and (
        promises_not_run(status) or status in CALLER_ERROR_STATUSES
    )
