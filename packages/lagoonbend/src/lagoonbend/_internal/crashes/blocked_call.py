"""Why a call is not sent to any target."""

from typing import NamedTuple


class BlockedCall(NamedTuple):
    """A carrier under which targets have ended.

    :param carrier: identity of the block or request.
    :param crash_count: number of targets that have ended.
    :param left_ms: time until one call with it is tried again.
    """

    carrier: str
    crash_count: int
    left_ms: int
