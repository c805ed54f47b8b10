"""A kind of request in a mix."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """Requests that share a tier and a shape.

    :param tier: name of the tier, for the report.
    :param share: share of all requests.
    :param deadline_ms: time in which the answer must be complete.
    :param method: HTTP method.
    :param path: path.
    :param model: model asked for; empty for a plain service.
    :param prompt_bytes: least and greatest length of a prompt.
    :param max_tokens: least and greatest length of an answer.
    :param is_keyed: True if each request takes a ticket.
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
