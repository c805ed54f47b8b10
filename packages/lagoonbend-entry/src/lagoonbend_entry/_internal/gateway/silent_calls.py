"""Finds calls whose target has sent nothing for a while."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend_entry._internal.gateway.call_progress import CallProgress

SILENCE_MS = 1_000
"""Time without any byte on a connection that was open before, after which the
links are checked; a sound target may pause for as long."""


def find_silent(
    calls: Iterable[CallProgress], now_ms: int
) -> Iterator[tuple[str, int]]:
    """Yield the services of calls at silent targets, and since when.

    :param calls: calls that are being served.
    """
    for progress in calls:
        attempt = progress.attempt
        since_ms = attempt.silent_since_ms if attempt else None
        if since_ms is not None and now_ms - since_ms >= SILENCE_MS:
            yield progress.call.service, since_ms
