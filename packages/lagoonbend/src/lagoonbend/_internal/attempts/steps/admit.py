"""Step: wait until a target has room."""

from typing import NamedTuple


class Admit(NamedTuple):
    """Wait until a target has room.

    Result: an Assignment, which counts as load of its target until it is
    released. Raises RefusedError and CallerGoneError.
    """
