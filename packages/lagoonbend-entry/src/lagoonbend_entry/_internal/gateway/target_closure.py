"""Why and for how long an instance sends a target no requests."""

from typing import NamedTuple

from lagoonbend.facts import ListedTarget


class TargetClosure(NamedTuple):
    """Closure of one life of a target.

    :param target: target as it was listed when it asked for this.
    :param end_ms: end on the instance's clock; None for all of that life.
    """

    target: ListedTarget
    end_ms: int | None = None

    def covers(self, listed: ListedTarget) -> bool:
        """Return True if a registration is of the life that is closed.

        A registration with an earlier start is an older copy of it.
        """
        known = self.target
        if listed.born_ms is not None and known.born_ms is not None:
            return listed.born_ms <= known.born_ms
        return (listed.ip, listed.port) == (known.ip, known.port)
