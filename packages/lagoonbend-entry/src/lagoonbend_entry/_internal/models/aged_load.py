"""A load report as it is sent between instances."""

from typing import NamedTuple


class AgedLoad(NamedTuple):
    """Load of a target and the age of the report.

    An age is sent instead of a time, as instances do not share a clock.

    :param target: name of the target.
    :param running: number of requests that the target is processing.
    :param waiting_tokens: tokens that the target has yet to compute.
    :param age_ms: age of the report when it was sent.
    """

    target: str
    running: int
    waiting_tokens: int
    age_ms: int
