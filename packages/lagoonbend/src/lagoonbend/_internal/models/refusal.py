"""The refusal of a request."""

from typing import NamedTuple

from lagoonbend._internal.models.refusal_code import RefusalCode
from lagoonbend._internal.models.verdict import Verdict


class Refusal(NamedTuple):
    """A final answer that says why a request is not served.

    :param status: HTTP status code.
    :param code: reason for programs; its values are stable.
    :param detail: reason for people, in one sentence.
    :param attempt_verdict: whether this very attempt reached a target.
    :param verdict: whether the request may have run in any of the attempts
        with the same idempotency key.
    :param retry_after_ms: time to wait before a repeat; None if repeating is
        useless.
    """

    status: int
    code: RefusalCode
    detail: str
    attempt_verdict: Verdict
    verdict: Verdict
    retry_after_ms: int | None = None
