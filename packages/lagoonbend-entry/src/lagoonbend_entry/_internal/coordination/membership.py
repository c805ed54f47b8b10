"""The instances within reach at one moment."""

from typing import NamedTuple

from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat


class MembershipView(NamedTuple):
    """What the heartbeats show, computed once for many uses.

    :param computed_ms: when it was computed.
    :param alive: last heartbeats of the instances within reach.
    :param known_count: instances that may use a share of limits, with this
        one.
    :param unreachable_domains: domains of which no known instance is within
        reach.
    """

    computed_ms: int
    alive: tuple[Heartbeat, ...]
    known_count: int
    unreachable_domains: frozenset[str]
