"""Kinds of requests in a mix."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """Requests of one tier that differ only in their bodies.

    :param tier: name of the tier in the report.
    :param share: share of all requests in the mix, from 0 to 1.
    :param deadline_ms: time within which the answer must be complete.
    :param method: HTTP method.
    :param path: path of the URL.
    :param model: requested model; empty for a plain service.
    :param prompt_bytes: minimum and maximum length of a prompt.
    :param max_tokens: minimum and maximum of the requested ``max_tokens``.
    :param is_keyed: True if each request carries a ticket as its
        idempotency key.
    """

    tier: str
    share: float
    deadline_ms: int
    method: str
    path: str
    model: str = ''
    prompt_bytes: tuple[int, int] = (0, 0)
    max_tokens: tuple[int, int] = (0, 0)
    is_keyed: bool = False
