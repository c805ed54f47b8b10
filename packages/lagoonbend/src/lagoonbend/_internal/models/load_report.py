"""A target's report of its load."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """What a target says of itself, late.

    :param target: name of the target.
    :param running: requests it works on.
    :param waiting_tokens: tokens it has yet to compute.
    :param measured_ms: when it was measured, on the reader's clock.
    """

    target: str
    running: int
    waiting_tokens: int
    measured_ms: int
