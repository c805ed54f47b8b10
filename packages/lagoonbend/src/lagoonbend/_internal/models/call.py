"""A caller's request."""

from typing import NamedTuple

from lagoonbend._internal.models.request_class import RequestClass


class Call(NamedTuple):
    """A request of a caller, authenticated and classified.

    :param attempt: identifier of this attempt, unique among all instances.
    :param customer: name of the customer.
    :param method: HTTP method.
    :param path: path and query.
    :param content_type: media type of the body.
    :param body: whole body in bytes.
    :param model: requested model; empty for a plain service.
    :param streaming: True if the caller wants server-sent events.
    :param key: idempotency key or ticket; None if there is none.
    :param request_class: class of the request according to the rules.
    :param received_ms: when it was read, on this instance's clock.
    :param age_known: False if it may have waited while the process was
        paused.
    :param deadline_ms: when the answer becomes useless, on the same clock.
    :param output_tokens: maximum number of tokens to generate.
    """

    attempt: str
    customer: str
    method: str
    path: str
    content_type: str
    body: bytes
    model: str
    streaming: bool
    key: str | None
    request_class: RequestClass
    received_ms: int
    age_known: bool
    deadline_ms: int
    output_tokens: int = 0
