"""Mixes of requests, one for each partner."""

from lagoonbend_cli._internal.load.request_kind import RequestKind

CHAT_PATH = '/v1/chat/completions'
MIXES: dict[str, tuple[RequestKind, ...]] = {
    'port-louis': (
        RequestKind(
            'flag', 0.6, 2_500, 'POST', CHAT_PATH, 'flags', (200, 800), (8, 24)
        ),
        RequestKind(
            'submission',
            0.25,
            10_000,
            'POST',
            '/submissions',
            is_keyed=True,
        ),
        RequestKind(
            'summary',
            0.15,
            60_000,
            'POST',
            CHAT_PATH,
            'summaries',
            (20_000, 80_000),
            (60, 150),
        ),
    ),
    'lakeshore': (
        RequestKind(
            'trail',
            0.5,
            3_000,
            'POST',
            CHAT_PATH,
            'trail-assistant',
            (200, 1_500),
            (8, 32),
        ),
        RequestKind('trail', 0.2, 3_000, 'GET', '/maps/lakeshore'),
        RequestKind(
            'booking', 0.15, 10_000, 'POST', '/bookings', is_keyed=True
        ),
        RequestKind(
            'draft',
            0.15,
            60_000,
            'POST',
            CHAT_PATH,
            'drafts',
            (8_000, 40_000),
            (60, 150),
        ),
    ),
}
