"""Memory of the software versions that began streams."""

from collections.abc import Iterable
from collections.abc import Iterator

import xxhash

from lagoonbend._internal.facts.stream_origin import StreamOrigin
from lagoonbend._internal.utils.clock import Clock

MAX_ORIGINS = 20_000
"""Bound on the memory, about 4 MB. The fleets of the users begin up to 700
streams a second, of which callers may take up each for 16 s."""
EXPIRY_INTERVAL_MS = 1_000


class StreamOrigins:
    """Origins of streams, until the streams can't be taken up any more.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins: dict[int, StreamOrigin] = {}
        self._next_expiry_ms = 0

    def __len__(self) -> int:
        return len(self._origins)

    def add(self, origins: Iterable[StreamOrigin]) -> None:
        """Add origins; beyond the bound, the oldest ones are dropped.

        They may arrive in any order.
        """
        now_ms = self._clock.now_ms()
        for origin in origins:
            known = self._origins.pop(origin.key, None)
            if known is not None and known.expires_ms > now_ms:
                origin = known.merge(origin)
            self._origins[origin.key] = origin
        self._expire()
        while len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream that can still be taken up."""
        origin = self._origins.get(key)
        if origin is None or origin.is_disputed:
            return None
        return origin if origin.expires_ms > self._clock.now_ms() else None

    def list_live(self) -> Iterator[StreamOrigin]:
        """Yield the origins of all streams that can still be taken up."""
        for origin in self._list_unexpired():
            if not origin.is_disputed:
                yield origin

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        self._origins = {
            origin.key: origin for origin in self._list_unexpired()
        }

    def _list_unexpired(self) -> Iterator[StreamOrigin]:
        now_ms = self._clock.now_ms()
        for origin in self._origins.values():
            if origin.expires_ms > now_ms:
                yield origin


def compute_origin_key(customer: str, service: str, attempt: str) -> int:
    """Return the key of the stream that an attempt of a customer brought."""
    return xxhash.xxh3_64_intdigest(
        f'{customer}\x00{service}\x00{attempt}'.encode()
    )


def compute_prompt_key(customer: str, service: str, block_id: str) -> int:
    """Return the key of the prompts that end with a block of a customer."""
    return xxhash.xxh3_64_intdigest(
        f'{customer}\x00{service}\x00\x00{block_id}'.encode()
    )
