"""Decodes the headers of a target's answer."""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend_entry._internal.platform import names

STATUS_WRONG_TARGET = 421
LEAVING_VALUE = '1'


class AnswerHeaders(NamedTuple):
    """Values decoded from the headers of an answer.

    :param attempt: identity of the attempt that it answers; empty if missing.
    :param is_signed: True if the answer has the target's signature.
    :param is_not_run: True if the target states that it did not run the call.
    :param is_wrong_target: True for status 421: another target has the
        address, or the target has another version of the model.
    :param is_encoded: True if the body has a content encoding.
    :param is_leaving: True if the target says that it leaves.
    """

    attempt: str
    is_signed: bool
    is_not_run: bool
    is_wrong_target: bool
    is_encoded: bool
    is_leaving: bool


def decode_answer_headers(
    status: int, headers: Mapping[str, str]
) -> AnswerHeaders:
    """Return the values in the headers of an answer.

    :param headers: first value of each header by lower-case name.
    """
    encoding = headers.get('content-encoding', '').strip().lower()
    is_wrong_target = status == STATUS_WRONG_TARGET
    return AnswerHeaders(
        attempt=headers.get(names.HEADER_ATTEMPT, ''),
        is_signed=names.HEADER_STAMP in headers,
        is_not_run=names.HEADER_NOT_RUN in headers or is_wrong_target,
        is_wrong_target=is_wrong_target,
        is_encoded=encoding not in ('', 'identity'),
        is_leaving=headers.get(names.HEADER_LEAVING, '').strip()
        == LEAVING_VALUE,
    )
