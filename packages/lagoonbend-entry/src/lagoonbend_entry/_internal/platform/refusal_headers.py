"""Encodes the headers of an instance's own error answers."""

from collections.abc import Mapping

from lagoonbend_entry._internal.platform import names

MILLISECONDS_PER_SECOND = 1000


def encode_refusal_headers(
    header_map: Mapping[str, str], retry_after_ms: int | None
) -> list[tuple[str, str]]:
    """Return the headers of an error answer that doesn't come from a target.

    :param header_map: first value of each header of the request by
        lower-case name.
    :param retry_after_ms: time after which the caller may retry; None if a
        retry is of no use. Sent with milliseconds, as the platform's callers
        accept fractions of a second.
    """
    headers = [('Content-Type', 'application/json')]
    attempt = header_map.get(names.HEADER_ATTEMPT)
    if attempt:
        headers.append(('Attempt-Id', attempt))
    if retry_after_ms is not None:
        seconds = retry_after_ms / MILLISECONDS_PER_SECOND
        headers.append(('Retry-After', f'{seconds:.3f}'))
    return headers
