"""What a target says about its load in an answer."""

from typing import NamedTuple


class StatedLoad(NamedTuple):
    """Load of a target when it wrote an answer, as it states it itself.

    The values are not checked; ``TargetStatement`` bounds them.

    :param running: calls that run at the target.
    :param waiting: calls that wait there.
    :param work_percent: time that work takes on its machine at the moment, in
        percent of the usual; 0 if the target doesn't state it.
    :param age_ms: time since the answer arrived.
    """

    running: int
    waiting: int
    work_percent: int = 0
    age_ms: int = 0
