"""A call whose connection to a target broke before an answer."""

from typing import NamedTuple

from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.call_identity import fingerprint_call


class LostCall(NamedTuple):
    """What is known of a call that a target has not answered.

    :param attempt: identity of the caller's attempt.
    :param blocks: identities of the blocks of its prompt that other calls may
        have too.
    :param fingerprint: digest by which a repeat of the request is recognized.
    :param sent_ms: time on the instance's clock at which it was sent.
    :param lost_ms: time at which the connection broke.
    """

    attempt: str
    blocks: tuple[str, ...]
    fingerprint: str
    sent_ms: int
    lost_ms: int

    @classmethod
    def from_call(
        cls, call: AdmittedCall, sent_ms: int, lost_ms: int
    ) -> 'LostCall':
        """Return the record of a call."""
        return cls(
            call.headers.attempt,
            tuple(block.block_id for block in call.headers.shared_prompt),
            fingerprint_call(call),
            sent_ms,
            lost_ms,
        )
