"""Heads and events that callers and targets may send.

Guards against a call that ends in an internal error, or a message that no peer
can read, since a header or the identity of an event holds any text.
"""

import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser
from lagoonbend_entry._internal.gateway.facts_cache import DEFAULT_BOUNDS
from lagoonbend_entry._internal.gateway.request_parser import RequestParser
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

FUZZED = settings(
    deadline=None,
    max_examples=300,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
LONG_NUMBER = '9' * 5_000
HUGE_NUMBER = '9' * 400
TEXTS = strategies.text(
    strategies.characters(max_codepoint=255), max_size=40
) | strategies.integers(0, 10**400).map(str)
CALL_NAMES = (
    names.HEADER_ATTEMPT,
    names.HEADER_AUTHORIZATION,
    names.HEADER_DEADLINE,
    names.HEADER_PROMPT,
    names.HEADER_TOKENS,
    names.HEADER_LENGTH_HINT,
    names.HEADER_RESUMES,
    names.HEADER_LAST_EVENT,
)
ANSWER_NAMES = (
    names.HEADER_ATTEMPT,
    names.HEADER_RETRY_AFTER,
    names.HEADER_REQUEST_LIMIT,
    names.HEADER_REJECTION_LIMIT,
    names.HEADER_LEAVING,
    'content-encoding',
)
BOUND = 2**50


class FuzzedHeadsTest(unittest.TestCase):
    """Headers with any text, and bytes that are no HTTP."""

    @FUZZED
    @given(strategies.dictionaries(strategies.sampled_from(CALL_NAMES), TEXTS))
    @example({names.HEADER_DEADLINE: LONG_NUMBER})
    @example({names.HEADER_DEADLINE: HUGE_NUMBER})
    @example({names.HEADER_TOKENS: f'{HUGE_NUMBER},{HUGE_NUMBER}'})
    @example({names.HEADER_PROMPT: f'a:{HUGE_NUMBER},b:{LONG_NUMBER}'})
    def test_any_headers_of_a_call(self, headers: dict[str, str]) -> None:
        """Numbers out of range count as missing."""
        decoded = call_headers.decode_call_headers(headers)
        numbers = [
            decoded.deadline_ms or 0,
            decoded.prompt_tokens or 0,
            decoded.output_tokens,
            decoded.estimated_output_tokens,
            *(block.tokens for block in decoded.prompt),
        ]
        for number in numbers:
            self.assertIn(number, range(BOUND))

    @FUZZED
    @given(
        strategies.integers(100, 599),
        strategies.dictionaries(strategies.sampled_from(ANSWER_NAMES), TEXTS),
    )
    @example(503, {names.HEADER_RETRY_AFTER: LONG_NUMBER})
    @example(200, {names.HEADER_REQUEST_LIMIT: HUGE_NUMBER})
    @example(200, {names.HEADER_REJECTION_LIMIT: LONG_NUMBER})
    def test_any_headers_of_an_answer(
        self, status: int, headers: dict[str, str]
    ) -> None:
        """Limits out of range are capped."""
        decoded = answer_headers.decode_answer_headers(status, headers)
        self.assertIn(decoded.pause_ms, range(BOUND))
        for rate in (
            decoded.request_limit_per_s or 0,
            decoded.rejection_limit_per_s or 0,
        ):
            self.assertTrue(0 <= rate <= bounded.MAX_RATE)

    @FUZZED
    @given(strategies.lists(TEXTS, min_size=2, max_size=4))
    @example(['5', LONG_NUMBER, '6'])
    @example([LONG_NUMBER, '6'])
    @example(['\u00b2', '3'])
    def test_any_identities_of_events(self, identities: list[str]) -> None:
        """An event follows another one, or it doesn't."""
        position = StreamPosition()
        for identity in identities:
            event = b'id: ' + identity.encode('latin-1') + b'\n\n'
            self.assertIn(position.is_next(event), (True, False))
            self.assertIn(position.is_repeated(event), (True, False))
            position.record_sent(event)

    @FUZZED
    @given(strategies.binary(max_size=400), strategies.integers(1, 50))
    @example(
        b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: '
        + LONG_NUMBER.encode()
        + b'\r\n\r\n',
        50,
    )
    @example(b'HTTP/1.1 99999999999999999999 x\r\n\r\n', 50)
    def test_any_bytes_on_a_connection(self, data: bytes, size: int) -> None:
        """Requests and answers, or bytes that are none."""
        requests = RequestParser(PausedClock(1_000), DEFAULT_BOUNDS)
        answers = AnswerParser()
        for start in range(0, len(data), size):
            requests.feed(data[start : start + size])
            answers.feed(data[start : start + size])
        answers.on_connection_closed()
        self.assertIn(requests.error_status, (0, 400, 413, 431))


class UnchangedNumbersTest(unittest.TestCase):
    """Numbers of the sizes that callers and targets send."""

    def test_numbers_in_range_are_read(self) -> None:
        """Also such as no caller needs."""
        decoded = call_headers.decode_call_headers(
            {
                names.HEADER_DEADLINE: '86400000',
                names.HEADER_TOKENS: '1000000,4096',
            }
        )
        self.assertEqual(86_400_000, decoded.deadline_ms)
        self.assertEqual(1_000_000, decoded.prompt_tokens)
        limits = answer_headers.decode_answer_headers(
            200, {names.HEADER_REQUEST_LIMIT: '12.5'}
        )
        self.assertEqual(12.5, limits.request_limit_per_s)
