"""Calls for tests."""

from lagoonbend.models import Call
from lagoonbend.models import RequestClass

LIFE_MS = 10_000


def build_call(
    *,
    method: str = 'POST',
    rank: int = 0,
    idempotent: bool = False,
    key: str | None = None,
    attempt: str = 'attempt-1',
    received_ms: int = 0,
) -> Call:
    """Return a call to a plain service."""
    request_class = RequestClass(
        'rule', f'tier-{rank}', rank, 'service', idempotent, False, LIFE_MS
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
        received_ms + LIFE_MS,
    )
