"""Outcome of a call that held a slot."""

import enum


class SlotOutcome(enum.Enum):
    """How a call ended, as seen by the instance that handles it.

    The values are sent between instances. ``GONE``: the target is no longer at
    its address. ``TURNED_AWAY``: the target rejected the call as full.
    ``UNSUITED``: the call requires something that the target doesn't offer,
    which says nothing about the health of the target.
    """

    ANSWERED = 'answered'
    TARGET_ERROR = 'target_error'
    BAD_ANSWER = 'bad_answer'
    SILENT = 'silent'
    NOT_REACHED = 'not_reached'
    GONE = 'gone'
    TURNED_AWAY = 'turned_away'
    UNSUITED = 'unsuited'
    CALLER_LEFT = 'caller_left'

    @property
    def is_fault(self) -> bool:
        """True if the outcome counts as a fault of the target."""
        return self in (
            SlotOutcome.TARGET_ERROR,
            SlotOutcome.BAD_ANSWER,
            SlotOutcome.SILENT,
        )

    @property
    def is_not_run(self) -> bool:
        """True if the call did not run at the target."""
        return self in (
            SlotOutcome.NOT_REACHED,
            SlotOutcome.GONE,
            SlotOutcome.TURNED_AWAY,
            SlotOutcome.UNSUITED,
        )
