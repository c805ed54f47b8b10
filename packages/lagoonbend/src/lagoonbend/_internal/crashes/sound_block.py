"""A block of a prompt on which a target has begun an answer."""

from typing import NamedTuple


class SoundBlock(NamedTuple):
    """A block that doesn't end the targets of a service.

    :param service: service of the target.
    :param block: identity of the block.
    :param begun_ms: when an answer last began, on this instance's clock.
    """

    service: str
    block: str
    begun_ms: int
