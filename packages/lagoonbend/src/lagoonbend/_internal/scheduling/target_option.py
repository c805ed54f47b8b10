"""A target at which a call may run, with what it would cost there."""

from typing import NamedTuple


class TargetOption(NamedTuple):
    """Expected costs of one call at one target.

    :param target: name of the target.
    :param free_slots: slots that are free there; 0 for a full target.
    :param wait_ms: expected wait for a slot; 0 if one is free, infinite if
        the target isn't to be waited for.
    :param first_byte_ms: expected time from the start to the first byte, with
        what the target is believed to have cached.
    :param placement_ms: cost of the target's load, of its faults and of
        another failure domain.
    :param behind_ms: cost to the calls that wait behind this one.
    :param kept_ms: time that the cached beginning of the prompt saves there;
        0 for a full target.
    :param shared_ms: part of it that calls running there have asked for too.
    :param needed_tokens: memory that the call needs.
    :param free_tokens: memory that running calls leave; None if unknown.
    """

    target: str
    free_slots: int
    wait_ms: float
    first_byte_ms: float
    placement_ms: float = 0.0
    behind_ms: float = 0.0
    kept_ms: float = 0.0
    shared_ms: float = 0.0
    needed_tokens: int = 0
    free_tokens: float | None = None

    @property
    def start_cost_ms(self) -> float:
        """Cost from the start at this target on."""
        return self.first_byte_ms + self.placement_ms + self.behind_ms

    @property
    def cost_ms(self) -> float:
        """Cost from now on: the wait for a slot and what follows."""
        return self.wait_ms + self.start_cost_ms

    @property
    def fits(self) -> bool:
        """True if the call fits into memory beside all that runs there."""
        if self.free_tokens is None:
            return True
        return self.needed_tokens <= self.free_tokens
