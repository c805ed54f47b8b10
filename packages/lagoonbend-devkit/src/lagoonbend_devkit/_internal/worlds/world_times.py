"""Time settings of a simulated fleet, all in milliseconds."""

from typing import NamedTuple


class WorldTimes(NamedTuple):
    """Time windows and limits that the components are built with.

    :param ticket_life_ms: how long a ticket may be used.
    :param repeat_window_ms: how long a caller may repeat a bare key after its
        first send.
    :param nonce_life_ms: maximum time from the receipt of a request to the
        owner's nonce, and from the nonce to the claim.
    :param confirm_ms: maximum age of the answer in which a former owner
        confirms that it has left its epoch.
    :param pause_ms: gap between two observations of the clock that counts
        as a pause of the process.
    :param settle_ms: time to empty the listen queue after a pause.
    :param connection_ms: maximum age of a connection whose request has not
        arrived completely.
    """

    ticket_life_ms: int = 10_000
    repeat_window_ms: int = 6_000
    nonce_life_ms: int = 400
    confirm_ms: int = 600
    pause_ms: int = 200
    settle_ms: int = 200
    connection_ms: int = 2_000
