"""Peers that may run the calls of an instance which reaches no target."""

from typing import NamedTuple

from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat


class HandoverCandidates(NamedTuple):
    """What is known of the peers, for calls of one service.

    :param reaching: peers that accept such calls and don't report the service
        as unreached.
    :param shared: those of them to which many instances have links, such as
        deciders; the calls of all would meet there.
    :param unreached_count: number of those of the own failure domain that do.
    """

    reaching: list[Heartbeat]
    shared: list[Heartbeat]
    unreached_count: int
