"""Sample configuration document of a local fleet."""

import hashlib

from lagoonbend.configuration import DocumentEntry
from lagoonbend.configuration import PartEntry

CALLER_KEY = 'demo-key'
PARTNER = 'lakeshore'


def build_sample_part(revision: int, seats: list[str]) -> PartEntry:
    """Return a document part with three tiers and a rule of each kind."""
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return {
        'revision': revision,
        'parent': '',
        'customers': [{'name': 'trail-app', 'key_sha256': digest}],
        'tiers': [
            {'name': 'trail', 'rank': 0, 'deadline_ms': 10_000},
            {'name': 'booking', 'rank': 1, 'deadline_ms': 10_000},
            {'name': 'draft', 'rank': 2, 'deadline_ms': 60_000},
        ],
        'rules': [
            {
                'name': 'booking',
                'path': '/bookings',
                'method': 'POST',
                'tier': 'booking',
                'kind': 'service',
                'idempotent': False,
                'key_required': True,
            },
            {
                'name': 'map',
                'path': '/maps',
                'tier': 'trail',
                'kind': 'service',
                'idempotent': True,
            },
            {
                'name': 'draft',
                'path': '/v1/chat/completions',
                'model': 'drafts',
                'tier': 'draft',
                'kind': 'engine',
                'idempotent': True,
            },
            {
                'name': 'question',
                'path': '/v1/chat/completions',
                'tier': 'trail',
                'kind': 'engine',
                'idempotent': False,
            },
        ],
        'seats': {'epoch': 1, 'seats': seats, 'former': []},
    }


def build_document(document_part: PartEntry) -> DocumentEntry:
    """Return a document that consists of this part only."""
    return {'parts': {PARTNER: document_part}}
