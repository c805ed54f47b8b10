"""A call whose connection to a target broke before an answer."""

from typing import NamedTuple

from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall


class LostCall(NamedTuple):
    """What is known of a call that a target has not answered.

    :param attempt: identity of the caller's attempt.
    :param blocks: identities of the blocks of its prompt that other calls may
        have too.
    """

    attempt: str
    blocks: tuple[str, ...]

    @classmethod
    def from_call(cls, call: AdmittedCall) -> 'LostCall':
        """Return the record of a call."""
        return cls(
            call.headers.attempt,
            tuple(block.block_id for block in call.headers.shared_prompt),
        )
