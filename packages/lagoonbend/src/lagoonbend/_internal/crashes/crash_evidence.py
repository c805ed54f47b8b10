"""A target that ended while a call with a carrier waited for its answer."""

from typing import NamedTuple


class CrashEvidence(NamedTuple):
    """One target that ended under one carrier.

    :param service: service of the target.
    :param carrier: identity of a block of a prompt, or of a whole request.
    :param life: the target and its start, so that each life counts once.
    :param ended_ms: when it ended, on this instance's clock.
    :param run_ms: time from sending the call to the end; None if not known.
    """

    service: str
    carrier: str
    life: str
    ended_ms: int
    run_ms: int | None = None
