"""Headers of an instance's own answers."""

from collections.abc import Mapping

from lagoonbend_entry._internal.platform import names

MILLISECONDS_PER_SECOND = 1000


def encode_refusal_headers(
    values: Mapping[str, str], retry_after_ms: int | None
) -> list[tuple[str, str]]:
    """Return the headers of an answer that no target has given.

    :param values: the request's headers by lower-case name.
    :param retry_after_ms: when to come back; None if that is no use. The
        platform's callers read fractions of a second.
    """
    headers = [('Content-Type', 'application/json')]
    attempt = values.get(names.HEADER_ATTEMPT)
    if attempt:
        headers.append(('Attempt-Id', attempt))
    if retry_after_ms is not None:
        seconds = retry_after_ms / MILLISECONDS_PER_SECOND
        headers.append(('Retry-After', f'{seconds:.3f}'))
    return headers
