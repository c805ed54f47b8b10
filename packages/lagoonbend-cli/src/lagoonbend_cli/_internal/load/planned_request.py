"""Planned requests of an open-loop load run."""

from collections.abc import Iterator
import random
from typing import NamedTuple

import msgspec

from lagoonbend_cli._internal.load.request_kind import RequestKind

FILLER_WORDS = ('kiln', 'route', 'barn', 'market', 'basket', 'price', 'lake')


class PlannedRequest(NamedTuple):
    """One request and the time to send it.

    :param offset_s: seconds from the start of the run to the sending.
    :param kind: kind of request.
    :param body: HTTP body.
    """

    offset_s: float
    kind: RequestKind
    body: bytes


def plan_requests(
    kinds: tuple[RequestKind, ...],
    *,
    seed: int,
    rate_per_s: float,
    duration_s: float,
    burst: float,
) -> Iterator[PlannedRequest]:
    """Yield requests with exponentially distributed gaps, in order of time.

    The same arguments yield the same requests.

    :param rate_per_s: mean rate outside the burst.
    :param burst: factor of the rate in the middle fifth of the duration.
    """
    rng = random.Random(seed)
    shares = [kind.share for kind in kinds]
    offset_s = 0.0
    request_number = 0
    while True:
        is_burst = 0.4 <= offset_s / duration_s < 0.6
        current_rate_per_s = rate_per_s * (burst if is_burst else 1.0)
        offset_s += rng.expovariate(current_rate_per_s)
        if offset_s >= duration_s:
            return
        kind = rng.choices(kinds, shares)[0]
        request_number += 1
        yield PlannedRequest(
            offset_s, kind, _write_body(rng, kind, request_number)
        )


def _write_body(
    rng: random.Random, kind: RequestKind, request_number: int
) -> bytes:
    if not kind.model:
        return (
            b'' if kind.method == 'GET' else f'load {request_number}'.encode()
        )
    prompt_length = rng.randint(*kind.prompt_bytes)
    prompt = f'{request_number} ' + ' '.join(
        rng.choices(FILLER_WORDS, k=prompt_length // 6 + 1)
    )
    return msgspec.json.encode(
        {
            'model': kind.model,
            'messages': [{'role': 'user', 'content': prompt[:prompt_length]}],
            'stream': True,
            'max_tokens': rng.randint(*kind.max_tokens),
        }
    )
