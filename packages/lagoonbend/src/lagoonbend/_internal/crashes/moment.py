"""A moment at which targets ended under one carrier."""

from typing import NamedTuple


class Moment(NamedTuple):
    """Targets that ended at about the same time.

    :param began_ms: when the first of them ended, on this instance's clock.
    :param end_count: number of them.
    """

    began_ms: int
    end_count: int
