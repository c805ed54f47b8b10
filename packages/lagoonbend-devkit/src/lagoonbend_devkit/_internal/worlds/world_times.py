"""Times of a world, all in milliseconds."""

from typing import NamedTuple


class WorldTimes(NamedTuple):
    """Windows and bounds that the parts are built with.

    :param ticket_life_ms: how long a ticket may be used.
    :param repeat_window_ms: how long a caller repeats a bare key.
    :param nonce_life_ms: greatest time from receipt to a claim.
    :param confirm_ms: greatest age of a former owner's word.
    :param pause_ms: gap that counts as a pause.
    :param settle_ms: time to empty the listen queue after a pause.
    :param connection_ms: greatest age of a connection whose request has
        not come whole.
    """

    ticket_life_ms: int = 10_000
    repeat_window_ms: int = 6_000
    nonce_life_ms: int = 400
    confirm_ms: int = 600
    pause_ms: int = 200
    settle_ms: int = 200
    connection_ms: int = 2_000
