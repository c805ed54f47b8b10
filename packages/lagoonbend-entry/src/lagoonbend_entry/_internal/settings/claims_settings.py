"""Section ``[claims]``."""

from typing import NamedTuple


class ClaimsSettings(NamedTuple):
    """At-most-once dispatch of requests with a key.

    :param ticket_life_ms: lifetime of a ticket.
    :param repeat_window_ms: how long a caller may repeat a bare key.
    :param nonce_life_ms: maximum time from the receipt of a bare key to the
        arrival of its owner's nonce, and from the issue of the nonce to the
        claim.
    :param confirm_ms: maximum age of a former owner's confirmation that it
        no longer owns a key.
    :param pause_ms: time without progress of the process that counts as a
        pause.
    :param settle_ms: time after a pause in which connections from the listen
        queue are still being accepted.
    """

    ticket_life_ms: int = 600_000
    repeat_window_ms: int = 60_000
    nonce_life_ms: int = 2_000
    confirm_ms: int = 5_000
    pause_ms: int = 1_000
    settle_ms: int = 1_000
