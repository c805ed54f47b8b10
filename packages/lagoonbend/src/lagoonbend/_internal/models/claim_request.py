"""The claim of an attempt on a key."""

from typing import NamedTuple


class ClaimRequest(NamedTuple):
    """Asks the holder of a key for the one permission to dispatch.

    :param customer: name of the customer; keys of customers never meet.
    :param key: ticket or bare key.
    :param attempt: identity of the attempt that would dispatch.
    :param fingerprint: hash of method, path and body.
    :param nonce: nonce of the owner, for a bare key; else empty.
    """

    customer: str
    key: str
    attempt: str
    fingerprint: int
    nonce: str = ''
