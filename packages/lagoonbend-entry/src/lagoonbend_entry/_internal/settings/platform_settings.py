"""Section ``[platform]``."""

from typing import NamedTuple


class PlatformSettings(NamedTuple):
    """Connection to the platform's service.

    :param address: IP address.
    :param port: TCP port.
    :param watch_ms: how long one watch (long poll) waits for a change.
    :param retry_ms: delay after a failed call.
    """

    address: str
    port: int
    watch_ms: int = 20_000
    retry_ms: int = 1_000
