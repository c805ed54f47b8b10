"""Section ``[platform]``."""

from typing import NamedTuple


class PlatformSettings(NamedTuple):
    """The platform's service.

    :param address: IP number.
    :param port: TCP port.
    :param watch_ms: time that one watch waits for a change.
    :param retry_ms: pause after a failed call.
    """

    address: str
    port: int
    watch_ms: int = 20_000
    retry_ms: int = 1_000
