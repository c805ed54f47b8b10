"""The last heartbeat of another instance."""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonbend_entry._internal.coordination import messages


class Heartbeat(NamedTuple):
    """What is known of an instance, and from when.

    :param address: its address for peers.
    :param failure_domain: domain that it runs in.
    :param last_seen_ms: when it was pinged, on this instance's clock.
    :param uptime_ms: time since its start, when it was pinged.
    :param is_leaving: True if it is about to stop.
    :param decides: pools that it decides for; empty if relayed.
    :param is_direct: False if another instance relayed the heartbeat.
    :param keeps_origins: True if it understands messages on the origins of
        streams; False if relayed.
    :param reads_reports: the same for reports of targets that end or name a
        limit.
    :param callers_endpoint: where it accepts calls that a peer hands over;
        empty if it accepts none, or relayed.
    :param unreached: services of which it reaches no target.
    :param binds_streams: True if it keeps streams at one software version
        before their first event too, and may be asked to search for prompts;
        False if relayed.
    """

    address: str
    failure_domain: str
    last_seen_ms: int
    uptime_ms: int
    is_leaving: bool
    decides: frozenset[str]
    is_direct: bool
    keeps_origins: bool = False
    reads_reports: bool = False
    callers_endpoint: str = ''
    unreached: frozenset[str] = frozenset()
    binds_streams: bool = False

    @classmethod
    def from_pong(cls, pong: messages.Pong, now_ms: int) -> 'Heartbeat':
        """Return the heartbeat that a pong to this instance brings."""
        return cls(
            pong.address,
            pong.failure_domain,
            min(pong.sent_ms, now_ms),
            pong.uptime_ms,
            pong.is_leaving,
            frozenset(pong.decides),
            True,
            pong.keeps_origins,
            pong.reads_reports,
            pong.callers_endpoint,
            frozenset(pong.unreached),
            pong.binds_streams,
        )


def all_bind_streams(heartbeats: Iterable[Heartbeat]) -> bool:
    """Return True unless an instance is known that is of an earlier build.

    Of those that are known by other instances only, the build isn't known.
    """
    return all(
        heartbeat.binds_streams
        for heartbeat in heartbeats
        if heartbeat.is_direct
    )
