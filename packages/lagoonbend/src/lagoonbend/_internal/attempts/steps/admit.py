"""Step: wait until a target has room."""

from typing import NamedTuple


class Admit(NamedTuple):
    """Wait until a target has room.

    Result: an Assignment that counts the work. Raises RefusedError.
    """
