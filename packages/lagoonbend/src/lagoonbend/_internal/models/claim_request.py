"""The claim of an attempt on a key."""

from typing import NamedTuple


class ClaimRequest(NamedTuple):
    """Asks the holder of a key for the permission to dispatch once.

    :param customer: name of the customer; each has its own key space.
    :param key: ticket, or bare key (a key chosen by the caller).
    :param attempt: identifier of the attempt that would dispatch.
    :param fingerprint: hash of method, path and body.
    :param nonce: nonce issued by the owner for a bare key; else empty.
    """

    customer: str
    key: str
    attempt: str
    fingerprint: int
    nonce: str = ''
