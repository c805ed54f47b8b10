"""Why a request was not assigned to a target."""

import enum


class Unplaced(enum.Enum):
    """What a request that got no target waits for."""

    NO_ROOM = 'no_room'
    WAITS_FOR_HOME = 'waits_for_home'
