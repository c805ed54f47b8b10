"""Body of a refusal, which tells it from an answer of a target."""

import msgspec

from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason

REASONS = {reason.label: reason for reason in RefusalReason}


class RefusalBody(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the body.

    :param reason: label of the reason.
    """

    reason: str


def encode_refusal_body(reason: RefusalReason) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode(RefusalBody(reason.label))


def decode_refusal_body(body: bytes) -> RefusalReason | None:
    """Return the reason of a refusal; None if the body is of another kind."""
    try:
        refusal = msgspec.json.decode(body, type=RefusalBody)
    except msgspec.MsgspecError:
        return None
    return REASONS.get(refusal.reason)
