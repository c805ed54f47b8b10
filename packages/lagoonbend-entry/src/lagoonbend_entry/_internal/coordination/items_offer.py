"""Published items that a peer offers."""

from typing import NamedTuple

from lagoonbend_entry._internal.coordination import messages


class ItemsOffer(NamedTuple):
    """Position and configuration that a peer has, by its heartbeat.

    :param peer: address of the peer.
    :param era: era of the store to which the revision belongs.
    :param revision: revision up to which nothing is missing there.
    :param rules_version: version of the configuration in force there.
    """

    peer: str
    era: int
    revision: int
    rules_version: int

    @classmethod
    def from_pong(cls, pong: messages.Pong, peer: str) -> 'ItemsOffer':
        """Return the offer in the heartbeat of a peer."""
        return cls(peer, pong.era, pong.revision, pong.rules_version)
