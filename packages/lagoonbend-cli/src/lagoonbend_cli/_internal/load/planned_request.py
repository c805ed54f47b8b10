"""A request with the time at which it is to be sent."""

from collections.abc import Iterator
import random
from typing import NamedTuple

import msgspec

from lagoonbend_cli._internal.load.request_kind import RequestKind

WORDS = ('kiln', 'route', 'barn', 'market', 'basket', 'price', 'lake')


class PlannedRequest(NamedTuple):
    """One request of an open-loop plan.

    :param at_s: seconds after the start.
    :param kind: kind of request.
    :param body: body in bytes.
    """

    at_s: float
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
    """Yield requests in order of time; the same for the same seed.

    :param burst: factor of the rate in the middle fifth.
    """
    rng = random.Random(seed)
    shares = [kind.share for kind in kinds]
    at_s = 0.0
    number = 0
    while True:
        is_burst = 0.4 <= at_s / duration_s < 0.6
        rate = rate_per_s * (burst if is_burst else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return
        kind = rng.choices(kinds, shares)[0]
        number += 1
        yield PlannedRequest(at_s, kind, _write_body(rng, kind, number))


def _write_body(rng: random.Random, kind: RequestKind, number: int) -> bytes:
    if not kind.model:
        return b'' if kind.method == 'GET' else f'load {number}'.encode()
    size = rng.randint(*kind.prompt_bytes)
    words = f'{number} ' + ' '.join(rng.choices(WORDS, k=size // 6 + 1))
    return msgspec.json.encode(
        {
            'model': kind.model,
            'messages': [{'role': 'user', 'content': words[:size]}],
            'stream': True,
            'max_tokens': rng.randint(*kind.max_tokens),
        }
    )
