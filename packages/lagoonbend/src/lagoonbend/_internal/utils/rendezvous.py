"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def choose_by_rendezvous(candidates: Iterable[str], key: str) -> str | None:
    """Return the candidate with the highest hash for ``key``.

    When a candidate is removed, only the keys that it had move to others.

    :returns: None if there are no candidates.
    """
    return max(
        candidates,
        key=lambda candidate: (score_candidate(candidate, key), candidate),
        default=None,
    )


def score_candidate(candidate: str, key: str) -> int:
    """Return the 64-bit score of ``candidate`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f'{candidate}\x00{key}'.encode())
