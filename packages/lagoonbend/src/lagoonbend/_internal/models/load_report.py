"""A target's report of its load."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """The load that a target reported; always somewhat out of date.

    :param target: name of the target.
    :param running: number of requests that it is processing.
    :param waiting_tokens: prompt tokens that it has yet to compute.
    :param measured_ms: when it was measured, on the clock of the
        instance that read the report.
    """

    target: str
    running: int
    waiting_tokens: int
    measured_ms: int
