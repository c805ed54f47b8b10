"""Refusals as problem details (RFC 9457)."""

from typing import NotRequired
from typing import TypedDict

from lagoonbend.models import Refusal

TYPE_PREFIX = 'urn:lagoonbend:refusal:'
PROBLEM_MEDIA_TYPE = 'application/problem+json'


class Problem(TypedDict):
    """A problem document.

    ``verdict`` covers all attempts with the request's key,
    ``attempt_verdict`` this attempt alone.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    verdict: str
    attempt_verdict: str
    retry_after_ms: NotRequired[int]


def write_problem(refusal: Refusal) -> Problem:
    """Return the problem document of a refusal."""
    problem = Problem(
        type=TYPE_PREFIX + refusal.code.value,
        title=refusal.code.value.replace('_', ' '),
        status=refusal.status,
        detail=refusal.detail,
        code=refusal.code.value,
        verdict=refusal.verdict.value,
        attempt_verdict=refusal.attempt_verdict.value,
    )
    if refusal.retry_after_ms is not None:
        problem['retry_after_ms'] = refusal.retry_after_ms
    return problem
