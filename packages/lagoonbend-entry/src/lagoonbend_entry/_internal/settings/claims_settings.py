"""Section ``[claims]``."""

from typing import NamedTuple


class ClaimsSettings(NamedTuple):
    """At-most-once dispatch.

    :param ticket_life_ms: how long after its issue a ticket may be used.
    :param repeat_window_ms: how long a caller may repeat a bare key.
    :param nonce_life_ms: greatest time from receipt to the claim of a key.
    :param confirm_ms: greatest age of a former owner's word.
    :param pause_ms: gap in the process's running that counts as a pause.
    :param settle_ms: time after a pause to empty the listen queue.
    """

    ticket_life_ms: int = 600_000
    repeat_window_ms: int = 60_000
    nonce_life_ms: int = 2_000
    confirm_ms: int = 5_000
    pause_ms: int = 1_000
    settle_ms: int = 1_000
