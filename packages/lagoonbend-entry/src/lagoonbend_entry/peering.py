"""What instances tell each other, for tools that measure it."""

from lagoonbend_entry._internal.network.peers.generated import peer_pb2
from lagoonbend_entry._internal.network.peers.peer_messages import read_digest
from lagoonbend_entry._internal.network.peers.peer_messages import write_digest
from lagoonbend_entry._internal.network.platform import platform_reader
from lagoonbend_entry._internal.serving.peer_book import PeerBook
from lagoonbend_entry._internal.serving.peer_exchange import FAR_PEERS
from lagoonbend_entry._internal.serving.peer_exchange import NEAR_PEERS

Digest = peer_pb2.Digest
parse_fleet = platform_reader.parse_fleet

__all__ = [
    'FAR_PEERS',
    'NEAR_PEERS',
    'Digest',
    'PeerBook',
    'parse_fleet',
    'read_digest',
    'write_digest',
]
