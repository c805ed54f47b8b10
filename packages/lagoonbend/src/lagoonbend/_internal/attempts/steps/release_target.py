"""Step: release the target of a call."""

from typing import NamedTuple

from lagoonbend._internal.routing.assignment import Assignment


class ReleaseTarget(NamedTuple):
    """Stop counting the call as load of its target.

    No result and no error.

    :param assignment: the assignment of the call to the target.
    :param failed: True if the dispatch failed, so that the target is avoided
        for a while.
    """

    assignment: Assignment
    failed: bool
