"""The last sign of life of another instance."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """What is known of an instance, and since when.

    :param address: its address for peers.
    :param failure_domain: domain it stands in.
    :param heard_ms: when it was asked, on this instance's clock.
    :param uptime_ms: time since its start, when it was heard.
    :param is_leaving: True if it is to stop.
    :param decides: pools that it decides for; only known first hand.
    :param is_direct: True if this instance asked it itself.
    """

    address: str
    failure_domain: str
    last_seen_ms: int
    uptime_ms: int
    is_leaving: bool
    decides: frozenset[str]
    is_direct: bool
