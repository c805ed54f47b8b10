"""The refusal of a request."""

from typing import NamedTuple

from lagoonbend._internal.models.refusal_code import RefusalCode
from lagoonbend._internal.models.verdict import Verdict


class Refusal(NamedTuple):
    """A final answer that says why a request is not served.

    :param status: HTTP status code.
    :param code: stable reason.
    :param detail: one sentence for a person.
    :param attempt_verdict: whether this very attempt reached a target.
    :param verdict: whether the request, over all attempts that carry the
        same idempotency key, may have run.
    :param retry_after_ms: when to come back; None when repeating is useless.
    """

    status: int
    code: RefusalCode
    detail: str
    attempt_verdict: Verdict
    verdict: Verdict
    retry_after_ms: int | None = None
