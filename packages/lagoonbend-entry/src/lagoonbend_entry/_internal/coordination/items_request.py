"""A request for published items."""

from typing import NamedTuple


class ItemsRequest(NamedTuple):
    """A request that a peer has not answered yet.

    :param peer: address of the peer.
    :param sent_ms: when it was sent.
    :param timeout_ms: time after which another peer is asked.
    """

    peer: str
    sent_ms: int
    timeout_ms: int
