"""Step: open a connection to a target."""

from typing import NamedTuple

from lagoonbend._internal.routing.assignment import Assignment


class Connect(NamedTuple):
    """Open a connection to a target.

    Result: a connection. Raises DispatchError with verdict not run.

    :param assignment: the assignment of the call to the target.
    """

    assignment: Assignment
