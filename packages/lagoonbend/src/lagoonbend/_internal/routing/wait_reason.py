"""Why a request was not assigned to a target."""

import enum


class WaitReason(enum.Enum):
    """What a request that was not assigned to a target waits for."""

    NO_ROOM = 'no_room'
    WAITS_FOR_CACHED_TARGET = 'waits_for_home'
