"""What an instance knows of another one."""

from typing import NamedTuple

from lagoonbend_entry._internal.coordination.messages import Pong


class PeerState(NamedTuple):
    """The last sign of life of a peer.

    :param pong: what it said.
    :param heard_ms: when it was asked, on this instance's clock.
    """

    pong: Pong
    heard_ms: int
