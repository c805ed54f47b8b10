"""Reads the headers of a target's answer."""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend_entry._internal.platform import names

STATUS_WRONG_TARGET = 421


class AnswerHeaders(NamedTuple):
    """What the headers of an answer say.

    :param attempt: identity of the attempt that it answers; empty if none.
    :param has_stamp: True if the target has signed the answer.
    :param is_not_run: True if the target says that it did not run the call.
    :param is_wrong_target: True if another target has the address.
    :param is_encoded: True if the body is not as the target made it.
    """

    attempt: str
    has_stamp: bool
    is_not_run: bool
    is_wrong_target: bool
    is_encoded: bool


def decode_answer_headers(
    status: int, headers: Mapping[str, str]
) -> AnswerHeaders:
    """Return the facts in the headers of an answer.

    :param headers: values by lower-case name.
    """
    encoding = headers.get('content-encoding', '').strip().lower()
    is_wrong_target = status == STATUS_WRONG_TARGET
    return AnswerHeaders(
        attempt=headers.get(names.HEADER_ATTEMPT, ''),
        has_stamp=names.HEADER_STAMP in headers,
        is_not_run=names.HEADER_NOT_RUN in headers or is_wrong_target,
        is_wrong_target=is_wrong_target,
        is_encoded=encoding not in ('', 'identity'),
    )
