"""A load report on its way between instances."""

from typing import NamedTuple


class AgedLoad(NamedTuple):
    """A target's load with its age; clocks of instances are not compared.

    :param target: name of the target.
    :param running: requests it works on.
    :param waiting_tokens: tokens it has yet to compute.
    :param age_ms: age when it was sent on.
    """

    target: str
    running: int
    waiting_tokens: int
    age_ms: int
