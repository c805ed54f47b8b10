"""Rendezvous hashing."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

SCORES = 2**64


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


def choose_by_weight(weights: Mapping[str, float], key: str) -> str | None:
    """Return the candidate that gets ``key``, in proportion to the weights.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): while a
    candidate's weight changes, other candidates don't exchange keys.

    :param weights: weight of each candidate; without one it gets no key.
    :returns: None if there are no candidates with a weight.
    """
    candidates = [name for name, weight in weights.items() if weight > 0]
    return max(
        candidates,
        key=lambda name: (
            math.log((score_candidate(name, key) + 1) / (SCORES + 1))
            / weights[name],
            name,
        ),
        default=None,
    )


def score_candidate(candidate: str, key: str) -> int:
    """Return the 64-bit score of ``candidate`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f'{candidate}\x00{key}'.encode())
