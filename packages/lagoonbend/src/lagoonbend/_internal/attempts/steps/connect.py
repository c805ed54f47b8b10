"""Step: open a connection to a target."""

from typing import NamedTuple

from lagoonbend._internal.routing.target_state import TargetState


class Connect(NamedTuple):
    """Open a connection to a target.

    Result: a connection. Raises DispatchError with verdict not run.

    :param target: the target.
    """

    target: TargetState
