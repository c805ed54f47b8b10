"""How the use of a place ended."""

import enum


class SlotOutcome(enum.Enum):
    """What the carrying instance saw; the values travel.

    ``UNSUITED``: the call demands what the target doesn't offer, which tells
    nothing of its health.
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
        """True if it speaks against the target."""
        return self in (
            SlotOutcome.TARGET_ERROR,
            SlotOutcome.BAD_ANSWER,
            SlotOutcome.SILENT,
        )

    @property
    def is_not_run(self) -> bool:
        """True if the call has not come to the target."""
        return self in (
            SlotOutcome.NOT_REACHED,
            SlotOutcome.GONE,
            SlotOutcome.TURNED_AWAY,
            SlotOutcome.UNSUITED,
        )
