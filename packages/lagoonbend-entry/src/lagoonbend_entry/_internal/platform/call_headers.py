"""Reads a caller's headers and writes those for a target."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.platform import names

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
"""Headers that concern one connection; the framing is set anew."""


class CallHeaders(NamedTuple):
    """What the headers of a call say.

    :param attempt: identity of the caller's attempt; empty if missing.
    :param key: key of the customer; empty if missing.
    :param deadline_ms: time that the caller waits; None if it doesn't tell.
    :param prompt: parts of the prompt in order.
    :param prompt_tokens: tokens of the prompt; None if it doesn't tell.
    :param output_tokens: greatest length of the answer in tokens.
    :param likely_tokens: the caller's estimate of that length; 0 if none.
    :param demands_version: True if the caller accepts one version of the
        model's weights only; a target with another turns the call away.
    """

    attempt: str
    key: str
    deadline_ms: int | None
    prompt: tuple[PromptBlock, ...]
    prompt_tokens: int | None
    output_tokens: int
    likely_tokens: int
    demands_version: bool = False


def decode_call_headers(headers: Mapping[str, str]) -> CallHeaders:
    """Return the facts in a caller's headers; what can't be read is left out.

    :param headers: values by lower-case name.
    """
    prompt_tokens, output_tokens = _read_tokens(
        headers.get(names.HEADER_TOKENS, '')
    )
    return CallHeaders(
        attempt=headers.get(names.HEADER_ATTEMPT, ''),
        key=_read_key(headers.get(names.HEADER_AUTHORIZATION, '')),
        deadline_ms=_read_whole(headers.get(names.HEADER_DEADLINE, '')),
        prompt=tuple(_read_prompt(headers.get(names.HEADER_PROMPT, ''))),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        likely_tokens=_read_whole(headers.get(names.HEADER_LENGTH_HINT, ''))
        or 0,
        demands_version=names.HEADER_MODEL_VERSION in headers,
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
    """Yield the headers that a target gets.

    :param headers: the caller's, in order, with their own spelling.
    :param dropped: lower-case names that the caller's connection names.
    :param target: identity of the target.
    :param customer: name of the customer; empty for a public call.
    :param deadline_ms: time that is left.
    :param last_event: identity of the last event that the caller has, if
        a stream goes on here; None leaves the caller's own.
    """
    left_out = CONNECTION_HEADERS | names.SET_BY_INSTANCES | set(dropped)
    if last_event is not None:
        left_out = left_out | {names.HEADER_LAST_EVENT}
    for name, value in headers:
        if name.lower() not in left_out:
            yield name, value
    yield 'Expect-Instance', target
    yield 'Deadline-Ms', str(max(1, deadline_ms))
    if customer:
        yield 'Tenant', customer
    if last_event is not None:
        yield 'Last-Event-Id', last_event


def _read_key(value: str) -> str:
    if value[: len(names.KEY_SCHEME)].lower() != names.KEY_SCHEME:
        return ''
    return value[len(names.KEY_SCHEME) :].strip()


def _read_whole(value: str) -> int | None:
    text = value.strip()
    if not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def _read_tokens(value: str) -> tuple[int | None, int]:
    prompt, _, output = value.partition(',')
    return _read_whole(prompt), _read_whole(output) or 0


def _read_prompt(value: str) -> Iterator[PromptBlock]:
    for entry in value.split(','):
        part, _, tokens = entry.strip().partition(':')
        count = _read_whole(tokens)
        if not part or count is None:
            return
        yield PromptBlock(part, count)
