"""What instances tell each other, for tools that measure it."""

from lagoonbend_entry._internal.network.peers.generated import peer_pb2
from lagoonbend_entry._internal.network.peers.peer_messages import read_digest
from lagoonbend_entry._internal.network.peers.peer_messages import write_digest
from lagoonbend_entry._internal.network.platform import platform_reader
from lagoonbend_entry._internal.serving.peer_book import PeerBook

Digest = peer_pb2.Digest
parse_fleet = platform_reader.parse_fleet

__all__ = ['Digest', 'PeerBook', 'parse_fleet', 'read_digest', 'write_digest']
