"""A block of a prompt, or a request, to which a target has begun an answer."""

from typing import NamedTuple


class SoundCarrier(NamedTuple):
    """A carrier that doesn't end the targets of a service.

    :param service: service of the target.
    :param carrier: identity of the block or request.
    :param begun_ms: when an answer last began, on this instance's clock.
    """

    service: str
    carrier: str
    begun_ms: int
