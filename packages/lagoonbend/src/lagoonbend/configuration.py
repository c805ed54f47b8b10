"""Configuration documents, their revisions and their order."""

from lagoonbend._internal.configuration.document import CustomerEntry
from lagoonbend._internal.configuration.document import DocumentEntry
from lagoonbend._internal.configuration.document import PartEntry
from lagoonbend._internal.configuration.document import RuleEntry
from lagoonbend._internal.configuration.document import TierEntry
from lagoonbend._internal.configuration.document_part import compute_digest
from lagoonbend._internal.configuration.document_part import DocumentPart
from lagoonbend._internal.configuration.document_part import parse_document
from lagoonbend._internal.configuration.part_store import PartStore
from lagoonbend._internal.configuration.shard_store import ShardStore
from lagoonbend._internal.configuration.shard_store import split_customers

__all__ = [
    'CustomerEntry',
    'DocumentEntry',
    'DocumentPart',
    'PartEntry',
    'PartStore',
    'RuleEntry',
    'ShardStore',
    'TierEntry',
    'compute_digest',
    'parse_document',
    'split_customers',
]
