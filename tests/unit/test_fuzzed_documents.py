"""Documents that any writer may have written, read by the decoders.

Guards against an instance that ends, or stops following what others write,
since a decoder raises anything but its documented error or returns a value
that the rest of the program can't handle.
"""

import binascii
import contextlib
import json
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend.exceptions import PlatformError
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.platform.prompt_codec import decode_kept_blocks
from lagoonbend_entry._internal.platform.rules_codec import decode_rules
from lagoonbend_entry._internal.platform.store_codec import decode_changes
from lagoonbend_entry._internal.platform.store_codec import decode_listing
from lagoonbend_entry._internal.platform.target_codec import decode_target
from lagoonbend_entry._internal.platform.target_codec import MAX_PORT
from lagoonbend_entry._internal.platform.target_codec import MAX_SLOTS

DEPTH = 100_000
NESTED = b'[' * DEPTH
NESTED_FIELD = b'{"held":[],"version":1,"entries":[],"as-of":1,"x":' + NESTED
MAX_WIRE_INTEGER = 2**63 - 1
"""Largest integer of the messages between instances."""

FUZZED = settings(
    deadline=None,
    max_examples=300,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(-(10**400), 10**400)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
REGISTRATION = {
    'service': 'chat',
    'address': '10.0.0.1:80',
    'zone': 'd0',
    'slots': 4,
    'state': 'ready',
    'version': 'v1',
    'born': 1_700_000_000_000,
}
RULES = {
    'version': 3,
    'routes': [
        {
            'name': 'stream',
            'hostname': 'calls.example',
            'prefix': '/stream/',
            'route-kind': 'streaming',
            'target-latency-ms': 300,
            'priority': 0,
            'service': 'chat',
            'public': False,
            'resumable': True,
            'gap-target-ms': 400,
            'max-attempts': 2,
            'timeout-ms': 3_000,
        }
    ],
    'services': [{'name': 'chat', 'engine': {'kv-capacity': 100_000}}],
    'limits': {
        'max-header-bytes': 8_192,
        'max-body-bytes': 100_000,
        'header-timeout-ms': 700,
        'idle-timeout-ms': 5_000,
    },
    'tenants': [
        {
            'name': 'first',
            'api-keys': ['k'],
            'rate-per-s': 10,
            'burst': 10,
        }
    ],
}


def list_paths(document: object) -> list[tuple[str | int, ...]]:
    """Return the paths of all values in a JSON document."""
    paths: list[tuple[str | int, ...]] = [()]
    steps: list[tuple[str | int, object]] = []
    if isinstance(document, dict):
        steps = list(document.items())
    elif isinstance(document, list):
        steps = list(enumerate(document))
    for step, value in steps:
        paths += [(step, *path) for path in list_paths(value)]
    return paths


def replace_value(
    document: object, path: tuple[str | int, ...], value: object
) -> bytes:
    """Return a JSON document with one value replaced."""
    copy = {'root': json.loads(json.dumps(document))}
    place: object = copy
    steps = ('root', *path)
    for step in steps[:-1]:
        place = place[step]  # type: ignore[index]
    place[steps[-1]] = value  # type: ignore[index]
    return json.dumps(copy['root']).encode()


RULES_PATHS = list_paths(RULES)


class FuzzedDocumentsTest(unittest.TestCase):
    """Any bytes, and documents with one value replaced by any other."""

    def check_target(self, value: bytes, name: str = 'x') -> None:
        """Check the end of the decoder of registrations."""
        item = PublishedItem(f'servers/{name}', 5, value)
        with contextlib.suppress(DocumentError):
            target = decode_target(item)
            assert target is not None
            self.assertIn(target.port, range(1, MAX_PORT + 1))
            self.assertIn(target.slots, range(1, MAX_SLOTS + 1))
            self.assertIn(target.born_ms or 0, range(2**53))
            self.assertTrue(target.target.isascii())
            self.assertTrue(target.target.isprintable())
            msgspec.msgpack.encode(target)

    @FUZZED
    @given(strategies.binary())
    @example(NESTED)
    @example(b'{"service":"chat","x":' + NESTED)
    def test_any_bytes_as_registration(self, value: bytes) -> None:
        """A target within its ranges, or DocumentError."""
        self.check_target(value)

    @FUZZED
    @given(strategies.sampled_from(sorted(REGISTRATION)), JSON_VALUES)
    @example('slots', 10**400)
    @example('slots', 10**9)
    @example('born', 10**400)
    @example('address', '10.0.0.1:99999')
    @example('address', '10.0.0.1:' + '9' * 5_000)
    @example('address', '10.0.0.1:\u0663\u0663')
    def test_any_field_of_a_registration(
        self, field: str, value: object
    ) -> None:
        """The same with one field replaced."""
        self.check_target(replace_value(REGISTRATION, (field,), value))

    @FUZZED
    @given(strategies.text())
    @example('line\r\nX-Injected: 1')
    def test_any_name_of_a_registration(self, name: str) -> None:
        """It is sent in a header."""
        self.check_target(json.dumps(REGISTRATION).encode(), name)

    def check_rules(self, content: bytes) -> None:
        """Check the end of the decoder of configurations."""
        with contextlib.suppress(DocumentError):
            rules = decode_rules(content)
            self.assertIn(rules.version, range(2**53))
            for routes in rules.routes_by_host.values():
                for route in routes:
                    self.assertIsInstance(route.path_prefix, str)
                    self.assertIn(route.timeout_ms, range(2**53))
            for customer in rules.customers_by_name.values():
                self.assertTrue(0 <= customer.rate_per_s < 2**53)
                self.assertTrue(0 <= customer.burst < 2**53)

    @FUZZED
    @given(strategies.binary())
    @example(NESTED)
    @example(NESTED_FIELD)
    def test_any_bytes_as_configuration(self, content: bytes) -> None:
        """Rules within their ranges, or DocumentError."""
        self.check_rules(content)

    @FUZZED
    @given(strategies.sampled_from(RULES_PATHS), JSON_VALUES)
    @example(('version',), 10**30)
    @example(('routes', 0, 'timeout-ms'), 10**400)
    @example(('routes', 0, 'hostname'), 5)
    @example(('routes', 0, 'prefix'), 5)
    @example(('limits',), [])
    @example(('tenants', 0, 'rate-per-s'), 'inf')
    @example(('tenants', 0), 'first')
    @example(('services', 0, 'engine'), 5)
    def test_any_value_of_a_configuration(
        self, path: tuple[str | int, ...], value: object
    ) -> None:
        """The same with one value replaced."""
        self.check_rules(replace_value(RULES, path, value))

    def test_sound_documents_are_read(self) -> None:
        """The documents that the others vary."""
        self.assertEqual(3, decode_rules(json.dumps(RULES).encode()).version)
        item = PublishedItem('servers/x', 5, json.dumps(REGISTRATION).encode())
        self.assertIsNotNone(decode_target(item))

    def check_page(self, content: bytes) -> None:
        """Check the ends of the decoders of the store's answers."""
        for decode in (decode_listing, decode_changes):
            with contextlib.suppress(PlatformError):
                page = decode(content, 1)
                for item in page.items:
                    self.assertIn(item.revision, range(MAX_WIRE_INTEGER))
                    msgspec.msgpack.encode(item)
                self.assertIn(page.revision, range(MAX_WIRE_INTEGER))

    @FUZZED
    @given(strategies.binary())
    @example(NESTED)
    @example(NESTED_FIELD)
    def test_any_bytes_as_answer_of_the_store(self, content: bytes) -> None:
        """Items within their ranges, or PlatformError."""
        self.check_page(content)

    # Guards against one entry for which all others are left out.
    @FUZZED
    @given(
        strategies.sampled_from([(), ('key',), ('revision',), ('value',)]),
        JSON_VALUES,
    )
    @example(('revision',), 10**400)
    @example(('revision',), -1)
    @example(('value',), {})
    @example((), [])
    def test_any_entry_beside_a_sound_one(
        self, path: tuple[str, ...], value: object
    ) -> None:
        """The sound one is read, whatever the other one is."""
        text = binascii.b2a_base64(b'sound', newline=False).decode()
        entry = {'key': 'odd', 'revision': 7, 'value': text}
        odd = json.loads(replace_value(entry, path, value))
        sound = {'key': 'sound', 'revision': 8, 'value': text}
        for field, decode in (
            ('entries', decode_listing),
            ('events', decode_changes),
        ):
            content = json.dumps({field: [odd, sound], 'as-of': 8}).encode()
            self.check_page(content)
            page = decode(content, 1)
            self.assertIn(PublishedItem('sound', 8, b'sound', 1), page.items)
            self.assertEqual(2, len(page.items) + len(page.rejected))

    @FUZZED
    @given(strategies.binary() | JSON_VALUES.map(json.dumps).map(str.encode))
    @example(NESTED_FIELD)
    @example(b'{"held":[["","b",1e999,""]]}')
    @example(b'{"held":[["","b",' + b'9' * 400 + b',""]]}')
    @example(b'{"held":[],"born":1e999}')
    @example(b'{"held":[],"born":-1}')
    @example(b'{"held":[],"born":' + b'9' * 400 + b'}')
    def test_any_list_of_kept_prompts(self, body: bytes) -> None:
        """Tokens by block, or None."""
        kept = decode_kept_blocks(body)
        for tokens in kept.tokens_by_block.values() if kept else ():
            self.assertIn(tokens, range(2**53))
        if kept is not None and kept.born_ms is not None:
            self.assertIn(kept.born_ms, range(2**53))
