"""The decision of a claim ledger."""

import enum


class ClaimDecision(enum.Enum):
    """What the holder of a key decided about a claim."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    FINISHED = 'finished'
    MISMATCH = 'mismatch'
    EXPIRED = 'expired'
    UNKNOWN = 'unknown'
    NOT_OWNER = 'not_owner'
