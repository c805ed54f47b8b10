"""Builds calls for tests."""

from lagoonbend.models import Call
from lagoonbend.models import RequestClass

DEADLINE_MS = 10_000


def build_call(
    *,
    method: str = 'POST',
    rank: int = 0,
    idempotent: bool = False,
    key: str | None = None,
    attempt: str = 'attempt-1',
    received_ms: int = 0,
) -> Call:
    """Return a call to a plain service, due after ``DEADLINE_MS``."""
    request_class = RequestClass(
        'rule', f'tier-{rank}', rank, 'service', idempotent, False, DEADLINE_MS
    )
    return Call(
        attempt,
        'office',
        method,
        '/bookings',
        '',
        b'' if method in ('GET', 'HEAD') else b'body',
        '',
        False,
        key,
        request_class,
        received_ms,
        True,
        received_ms + DEADLINE_MS,
    )
