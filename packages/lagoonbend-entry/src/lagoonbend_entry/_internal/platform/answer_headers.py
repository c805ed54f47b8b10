"""Decodes the headers of a target's answer."""

from collections.abc import Mapping
import math
from typing import NamedTuple

from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

STATUS_WRONG_TARGET = 421
STATUS_UNAVAILABLE = 503
LEAVING_VALUE = '1'
MAX_PAUSE_MS = 60_000
"""Longest pause that a target is granted, four times the longest time that
callers wait. A value beyond that is rather an error, such as milliseconds, and
must not keep a target unused for its whole life; if it is meant, the target
asks again after this time."""
MAX_SHOWN_CHARS = 40
MILLISECONDS_PER_SECOND = 1000


class AnswerHeaders(NamedTuple):
    """Values decoded from the headers of an answer.

    :param attempt: identity of the attempt that it answers; empty if missing.
    :param is_signed: True if the answer has the target's signature.
    :param is_not_run: True if the target states that it did not run the call.
    :param is_wrong_target: True for status 421: another target has the
        address, or the target has another version of the model.
    :param is_encoded: True if the body has a content encoding.
    :param is_leaving: True if the target says that it leaves.
    :param pause_ms: time for which the target wants no further requests from
        this instance; 0 if it doesn't ask for a pause.
    :param request_limit_per_s: requests a second that the target takes from
        all instances together; None if it names no limit.
    :param rejection_limit_per_s: rejections a second beyond which the target
        falls over; None if it isn't brittle, or the value can't be read.
    :param load: calls running, calls waiting, slots, and perhaps the time of
        work in percent of the usual; empty if missing or unreadable.
    :param unused_request_limit: start of a limit that can't be read; empty if
        there is none.
    :param unused_retry_after: start of a value of ``Retry-After`` that is
        ignored or capped; empty if there is none.
    """

    attempt: str
    is_signed: bool
    is_not_run: bool
    is_wrong_target: bool
    is_encoded: bool
    is_leaving: bool
    pause_ms: int
    unused_retry_after: str
    request_limit_per_s: float | None = None
    unused_request_limit: str = ''
    rejection_limit_per_s: float | None = None
    load: tuple[int, ...] = ()


def decode_answer_headers(
    status: int, headers: Mapping[str, str]
) -> AnswerHeaders:
    """Return the values in the headers of an answer.

    :param headers: first value of each header by lower-case name.
    """
    encoding = headers.get('content-encoding', '').strip().lower()
    is_wrong_target = status == STATUS_WRONG_TARGET
    pause_ms, unused_retry_after = _decode_pause(status, headers)
    limit = headers.get(names.HEADER_REQUEST_LIMIT, '').strip()
    limit_per_s = bounded.read_decimal(limit)
    return AnswerHeaders(
        attempt=headers.get(names.HEADER_ATTEMPT, ''),
        is_signed=names.HEADER_STAMP in headers,
        is_not_run=names.HEADER_NOT_RUN in headers or is_wrong_target,
        is_wrong_target=is_wrong_target,
        is_encoded=encoding not in ('', 'identity'),
        is_leaving=headers.get(names.HEADER_LEAVING, '').strip()
        == LEAVING_VALUE,
        pause_ms=pause_ms,
        unused_retry_after=unused_retry_after,
        request_limit_per_s=limit_per_s,
        unused_request_limit=repr(limit[:MAX_SHOWN_CHARS])
        if limit and limit_per_s is None
        else '',
        rejection_limit_per_s=bounded.read_decimal(
            headers.get(names.HEADER_REJECTION_LIMIT, '')
        ),
        load=bounded.read_counts(headers.get(names.HEADER_LOAD, ''), 3, 4),
    )


def _decode_pause(status: int, headers: Mapping[str, str]) -> tuple[int, str]:
    """Return the pause in milliseconds, and the value if it isn't used."""
    value = headers.get(names.HEADER_RETRY_AFTER)
    if status != STATUS_UNAVAILABLE or value is None:
        return 0, ''
    shown = repr(value[:MAX_SHOWN_CHARS])
    pause_s = bounded.read_decimal(value)
    if pause_s is None:
        return 0, shown
    pause_ms = pause_s * MILLISECONDS_PER_SECOND
    if pause_ms > MAX_PAUSE_MS:
        return MAX_PAUSE_MS, shown
    return math.ceil(pause_ms), ''
