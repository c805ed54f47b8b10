"""The class of a request."""

from typing import NamedTuple


class RequestClass(NamedTuple):
    """How the operators' rules classify a request.

    :param rule: name of the rule that matched.
    :param tier: name of the tier.
    :param rank: rank of the tier; 0 is the most urgent.
    :param kind: kind of target, ``engine`` or ``service``.
    :param idempotent: True if a second execution does no harm.
    :param key_required: True if a call without a key is refused.
    :param deadline_ms: time until the deadline, unless the caller requests
        a shorter one.
    """

    rule: str
    tier: str
    rank: int
    kind: str
    idempotent: bool
    key_required: bool
    deadline_ms: int
