"""A target that ended while a call with a block waited for its answer."""

from typing import NamedTuple


class CrashEvidence(NamedTuple):
    """One target that ended under one block of a prompt.

    :param service: service of the target.
    :param block: identity of the block.
    :param life: the target and its start, so that each life counts once.
    :param ended_ms: when it ended, on this instance's clock.
    """

    service: str
    block: str
    life: str
    ended_ms: int
