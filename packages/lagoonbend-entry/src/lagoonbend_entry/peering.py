"""Exchange of state between instances, for tools that measure it."""

from lagoonbend_entry._internal.network.peers.generated import peer_pb2
from lagoonbend_entry._internal.network.peers.peer_messages import read_digest
from lagoonbend_entry._internal.network.peers.peer_messages import write_digest
from lagoonbend_entry._internal.network.platform import platform_reader
from lagoonbend_entry._internal.serving.peer_exchange import OTHER_DOMAIN_PEERS
from lagoonbend_entry._internal.serving.peer_exchange import SAME_DOMAIN_PEERS
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry

Digest = peer_pb2.Digest
parse_fleet = platform_reader.parse_fleet

__all__ = [
    'OTHER_DOMAIN_PEERS',
    'SAME_DOMAIN_PEERS',
    'Digest',
    'PeerRegistry',
    'parse_fleet',
    'read_digest',
    'write_digest',
]
