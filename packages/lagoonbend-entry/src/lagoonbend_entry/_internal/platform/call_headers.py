"""Decodes a caller's headers and encodes those for a target."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
"""Headers that apply to one connection only. Those for the length of the body
are written anew for each connection."""


class CallHeaders(NamedTuple):
    """Values decoded from the headers of a call.

    :param attempt: identity of the caller's attempt; empty if missing.
    :param key: key of the customer; empty if missing.
    :param deadline_ms: time that the caller waits; None if not given.
    :param prompt: blocks of the prompt in order.
    :param prompt_tokens: tokens of the prompt; None if not given.
    :param output_tokens: maximum length of the answer in tokens.
    :param estimated_output_tokens: length that the caller expects; 0 if not
        given.
    :param requires_model_version: True if the caller accepts only one version
        of the model's weights; a target with another rejects the call.
    :param continued_attempt: identity of the attempt that began the stream
        which the caller continues; empty if not given.
    :param last_event: identity of the last event of that stream that the
        caller has received; empty if it has received none.
    """

    attempt: str
    key: str
    deadline_ms: int | None
    prompt: tuple[PromptBlock, ...]
    prompt_tokens: int | None
    output_tokens: int
    estimated_output_tokens: int
    requires_model_version: bool = False
    continued_attempt: str = ''
    last_event: str = ''

    @property
    def shared_prompt(self) -> tuple[PromptBlock, ...]:
        """Blocks of the prompt that other calls may have too.

        The last block is the call's own, or that of its session.
        """
        return self.prompt[:-1]


def decode_call_headers(headers: Mapping[str, str]) -> CallHeaders:
    """Return the values in a caller's headers; invalid ones count as missing.

    :param headers: first value of each header by lower-case name.
    """
    prompt_tokens, output_tokens = _read_token_counts(
        headers.get(names.HEADER_TOKENS, '')
    )
    return CallHeaders(
        attempt=headers.get(names.HEADER_ATTEMPT, ''),
        key=_read_key(headers.get(names.HEADER_AUTHORIZATION, '')),
        deadline_ms=bounded.read_digits(
            headers.get(names.HEADER_DEADLINE, '')
        ),
        prompt=tuple(_read_prompt(headers.get(names.HEADER_PROMPT, ''))),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        estimated_output_tokens=bounded.read_digits(
            headers.get(names.HEADER_LENGTH_HINT, '')
        )
        or 0,
        requires_model_version=names.HEADER_MODEL_VERSION in headers,
        continued_attempt=headers.get(names.HEADER_RESUMES, ''),
        last_event=headers.get(names.HEADER_LAST_EVENT, ''),
    )


def encode_target_headers(
    headers: Iterable[tuple[str, str]],
    dropped: Iterable[str],
    *,
    target: str,
    customer: str,
    deadline_ms: int,
    last_event: str | None,
) -> Iterator[tuple[str, str]]:
    """Yield the headers to send to a target.

    :param headers: the caller's headers in order, with their original case.
    :param dropped: lower-case names in the caller's Connection header.
    :param target: identity of the target.
    :param customer: name of the customer; empty for a public call.
    :param deadline_ms: remaining time.
    :param last_event: identity of the last event that the caller received,
        if the target is to continue a stream; None keeps the caller's own
        header.
    """
    dropped_names = (
        CONNECTION_HEADERS | names.HEADERS_SET_BY_INSTANCES | set(dropped)
    )
    if last_event is not None:
        dropped_names = dropped_names | {names.HEADER_LAST_EVENT}
    for name, value in headers:
        if name.lower() not in dropped_names:
            yield name, value
    yield 'Expect-Instance', target
    yield 'Deadline-Ms', str(max(1, deadline_ms))
    if customer:
        yield 'Tenant', customer
    if last_event is not None:
        yield 'Last-Event-Id', last_event


def encode_handover_headers(
    headers: Iterable[tuple[str, str]],
    dropped: Iterable[str],
    *,
    deadline_ms: int,
    continued_attempt: str,
    last_event: str | None,
) -> Iterator[tuple[str, str]]:
    """Yield the headers to send to an instance that a call is handed to.

    It admits the call as if it came from the caller, whose key it gets.

    :param headers: the caller's headers in order, with their original case.
    :param dropped: lower-case names in the caller's Connection header.
    :param deadline_ms: remaining time.
    :param continued_attempt: identity of the attempt that began the stream, if
        it is to be continued.
    :param last_event: identity of the last event that the caller received;
        None for a call whose answer has not begun.
    """
    dropped_names = CONNECTION_HEADERS | {names.HEADER_DEADLINE} | set(dropped)
    if last_event is not None:
        dropped_names |= {names.HEADER_LAST_EVENT, names.HEADER_RESUMES}
    for name, value in headers:
        if name.lower() not in dropped_names:
            yield name, value
    yield 'Deadline-Ms', str(max(1, deadline_ms))
    yield handover_mark.HEADER_HANDED_OVER, handover_mark.HANDED_OVER_VALUE
    if last_event is not None:
        yield 'Resumes', continued_attempt
        yield 'Last-Event-Id', last_event


def _read_key(value: str) -> str:
    if (
        value[: len(names.AUTHORIZATION_SCHEME)].lower()
        != names.AUTHORIZATION_SCHEME
    ):
        return ''
    return value[len(names.AUTHORIZATION_SCHEME) :].strip()


def _read_token_counts(value: str) -> tuple[int | None, int]:
    prompt, _, output = value.partition(',')
    return bounded.read_digits(prompt), bounded.read_digits(output) or 0


def _read_prompt(value: str) -> Iterator[PromptBlock]:
    for entry in value.split(','):
        block_id, _, tokens = entry.strip().partition(':')
        token_count = bounded.read_digits(tokens)
        if not block_id or token_count is None:
            return
        yield PromptBlock(block_id, token_count)
