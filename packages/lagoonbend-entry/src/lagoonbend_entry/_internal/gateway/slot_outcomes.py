"""How the end of an attempt counts for the slot that it held."""

from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.scheduling import SlotOutcome

SLOT_OUTCOMES = {
    AttemptOutcome.WHOLE_ANSWER: SlotOutcome.ANSWERED,
    AttemptOutcome.ERROR_ANSWER: SlotOutcome.TARGET_ERROR,
    AttemptOutcome.TURNED_AWAY: SlotOutcome.TURNED_AWAY,
    AttemptOutcome.WRONG_TARGET: SlotOutcome.UNSUITED,
    AttemptOutcome.NOT_CONNECTED: SlotOutcome.NOT_REACHED,
    AttemptOutcome.RESET: SlotOutcome.BAD_ANSWER,
    AttemptOutcome.BAD_ANSWER: SlotOutcome.BAD_ANSWER,
    AttemptOutcome.SILENT: SlotOutcome.SILENT,
    AttemptOutcome.BROKEN_STREAM: SlotOutcome.BAD_ANSWER,
}
NOT_REACHED = (SlotOutcome.NOT_REACHED, SlotOutcome.GONE)
"""Outcomes of attempts without a connection."""
REJECTED = (AttemptOutcome.TURNED_AWAY, AttemptOutcome.ERROR_ANSWER)
"""Outcomes that a target has answered with, besides whole answers."""
