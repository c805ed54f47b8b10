"""Step: count the work at a target as over."""

from typing import NamedTuple

from lagoonbend._internal.routing.assignment import Assignment


class ReleaseTarget(NamedTuple):
    """Count the work at a target as over.

    No result and no error.

    :param assignment: the call at its target.
    :param failed: True if the target is to be avoided for a while.
    """

    assignment: Assignment
    failed: bool
