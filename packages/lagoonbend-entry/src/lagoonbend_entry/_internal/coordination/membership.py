"""Which instances were within reach at a moment."""

from typing import NamedTuple

from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat


class MembershipView(NamedTuple):
    """What signs of life tell, worked out once for many questions.

    :param at_ms: when it was worked out.
    :param alive: last signs of life of the instances within reach.
    :param known_count: instances that may use a part of limits, with this
        one.
    :param unreachable_domains: domains of which no known instance is within
        reach.
    """

    computed_ms: int
    alive: tuple[Heartbeat, ...]
    known_count: int
    unreachable_domains: frozenset[str]
