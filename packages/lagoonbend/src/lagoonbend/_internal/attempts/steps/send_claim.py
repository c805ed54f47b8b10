"""Step: ask the holder of a key for the permission to dispatch."""

from typing import NamedTuple

from lagoonbend._internal.models.claim_request import ClaimRequest


class SendClaim(NamedTuple):
    """Ask the holder of a key for the permission to dispatch.

    Result: a ClaimReply. Raises PeerError.

    :param holder: address of the holder; None for this instance.
    :param request: the claim.
    """

    holder: str | None
    request: ClaimRequest
