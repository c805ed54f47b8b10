"""Parses and validates callers' requests."""

import itertools
from typing import NamedTuple

import falcon
import gevent
import msgspec

from lagoonbend.attempts import refusals
from lagoonbend.claims import PauseDetector
from lagoonbend.clock import Clock
from lagoonbend.models import Call
from lagoonbend.models import RefusalCode
from lagoonbend_entry._internal.models.chat_body import ChatBody
from lagoonbend_entry._internal.serving.limit_sharer import LimitSharer
from lagoonbend_entry._internal.serving.request_rules import RequestRules

CONNECTED_MS_KEY = 'lagoonbend.connected_ms'
REQUEST_TARGET_KEY = 'lagoonbend.request_target'
DOT_SEGMENTS = {'.', '..'}
CHAT_PATH = '/v1/chat/completions'
KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Lagoonbend-Deadline-Ms'
DEFAULT_OUTPUT_TOKENS = 128
"""Assumed length of an answer if the request sets no maximum."""
MAX_KEY_CHARACTERS = 200
MILLISECONDS_PER_SECOND = 1000


class ChatFields(NamedTuple):
    """Fields of a chat completion that scheduling uses.

    :param model: requested model; empty for a plain service.
    :param streaming: True if the caller wants server-sent events.
    :param output_tokens: maximum number of tokens to generate.
    """

    model: str = ''
    streaming: bool = False
    output_tokens: int = 0


class CallReader:
    """Converts HTTP requests into calls.

    :param instance: name of the instance.
    :param incarnation: identifies this process start of the instance.
    :param clock: clock of the instance.
    :param request_rules: authenticates callers and classifies requests.
    :param pauses: detects pauses of the process. A request that may have
        arrived during one is of unknown age.
    :param limits: rate limits of customers.
    :param body_limit_bytes: maximum size of a body.
    :param body_timeout_ms: timeout for receiving the whole body.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        clock: Clock,
        request_rules: RequestRules,
        pauses: PauseDetector,
        limits: LimitSharer,
        *,
        body_limit_bytes: int,
        body_timeout_ms: int,
    ) -> None:
        self._prefix = f'{instance}-{incarnation}'
        self._attempt_numbers = itertools.count(1)
        self._clock = clock
        self._request_rules = request_rules
        self._pauses = pauses
        self._limits = limits
        self._body_limit_bytes = body_limit_bytes
        self._body_timeout_s = body_timeout_ms / MILLISECONDS_PER_SECOND

    def read(self, request: falcon.Request) -> Call:
        """Authenticate, validate and classify a request; return its call.

        :raises RefusedError: if the request is invalid or not permitted.
        """
        received_ms = self._clock.now_ms()
        authorization = request.get_header('Authorization') or ''
        customer_entry = self._request_rules.authenticate(authorization)
        customer = customer_entry['name']
        body = self._read_body(request)
        fields = _read_chat(request.path, body)
        request_class = self._request_rules.classify(
            customer, request.method, request.path, fields.model
        )
        self._limits.take(customer_entry)
        deadline_ms = _read_deadline(request, request_class.deadline_ms)
        return Call(
            f'{self._prefix}-{next(self._attempt_numbers)}',
            customer,
            request.method,
            _read_request_target(request),
            _read_content_type(request),
            body,
            fields.model,
            fields.streaming,
            _read_key(request),
            request_class,
            received_ms,
            self._pauses.is_age_known(request.env[CONNECTED_MS_KEY]),
            received_ms + deadline_ms,
            fields.output_tokens,
        )

    def _read_body(self, request: falcon.Request) -> bytes:
        length = request.content_length or 0
        if length > self._body_limit_bytes:
            raise self._build_too_large_error()
        limit = self._body_limit_bytes + 1
        try:
            with gevent.Timeout(self._body_timeout_s):
                body: bytes = request.stream.read(limit)
        except gevent.Timeout as error:
            raise refusals.refuse(
                408,
                RefusalCode.BODY_TOO_SLOW,
                'The body did not arrive in time.',
            ) from error
        except (OSError, ValueError) as error:
            raise refusals.refuse_malformed(
                'The body could not be read.'
            ) from error
        if len(body) > self._body_limit_bytes:
            raise self._build_too_large_error()
        if len(body) < length:
            raise refusals.refuse_malformed('The body is truncated.')
        return body

    def _build_too_large_error(self) -> Exception:
        return refusals.refuse(
            413,
            RefusalCode.BODY_TOO_LARGE,
            f'The body is larger than {self._body_limit_bytes} bytes.',
        )


def _read_chat(path: str, body: bytes) -> ChatFields:
    if path != CHAT_PATH:
        return ChatFields()
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except msgspec.MsgspecError as error:
        raise refusals.refuse_malformed(
            f'The body is no chat completion: {error}.'
        ) from error
    return ChatFields(
        chat['model'],
        chat.get('stream', False),
        chat.get('max_tokens', DEFAULT_OUTPUT_TOKENS),
    )


def _read_request_target(request: falcon.Request) -> str:
    """Return path and query as they were sent.

    Rejects a path that a target could normalise to another path, as such a
    path would bypass the rules.
    """
    request_target: str = request.env[REQUEST_TARGET_KEY]
    segments = request.path.split('/')[1:]
    if (
        not request_target.startswith('/')
        or not _is_plain(request_target)
        or ' ' in request_target
        or DOT_SEGMENTS & set(segments)
        or '' in segments[:-1]
    ):
        raise refusals.refuse_malformed('The path is not in plain form.')
    return request_target


def _read_content_type(request: falcon.Request) -> str:
    content_type = request.content_type or ''
    if not _is_plain(content_type):
        raise refusals.refuse_malformed('Content-Type is not plain text.')
    return content_type


def _is_plain(text: str) -> bool:
    return text.isascii() and text.isprintable()


def _read_key(request: falcon.Request) -> str | None:
    key: str | None = request.get_header(KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= MAX_KEY_CHARACTERS or not _is_plain(key):
        raise refusals.refuse_malformed(
            f'{KEY_HEADER} has 1 to {MAX_KEY_CHARACTERS} plain characters.'
        )
    return key


def _read_deadline(request: falcon.Request, limit_ms: int) -> int:
    text = request.get_header(DEADLINE_HEADER)
    if text is None:
        return limit_ms
    if not (text.isascii() and text.isdecimal()):
        raise refusals.refuse_malformed(
            f'{DEADLINE_HEADER} is whole milliseconds from now.'
        )
    return min(int(text), limit_ms)
