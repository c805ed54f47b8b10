"""The state of one idempotency key at its holder."""

import enum

from lagoonbend._internal.models.recorded_answer import RecordedAnswer


class ClaimState(enum.Enum):
    """State of the claim on a key."""

    HELD = 'held'
    RELEASED = 'released'
    FINISHED = 'finished'


class ClaimEntry:
    """What the holder of a key has recorded about it.

    :param attempt: attempt that holds the claim.
    :param fingerprint: hash of the request that first used the key.
    :param forget_ms: when the entry expires, on the holder's clock.

    ``dead_attempts`` are those that have released the claim and may not
    obtain it again.
    """

    __slots__ = (
        'answer',
        'attempt',
        'dead_attempts',
        'fingerprint',
        'forget_ms',
        'state',
    )

    def __init__(self, attempt: str, fingerprint: int, forget_ms: int) -> None:
        self.state = ClaimState.HELD
        self.attempt = attempt
        self.fingerprint = fingerprint
        self.forget_ms = forget_ms
        self.dead_attempts: set[str] = set()
        self.answer: RecordedAnswer | None = None

    def is_held_by(self, attempt: str) -> bool:
        """Return True if ``attempt`` holds the claim."""
        return self.state is ClaimState.HELD and self.attempt == attempt

    def release(self) -> None:
        """Release the claim; the same attempt is never granted it again."""
        self.dead_attempts.add(self.attempt)
        self.state = ClaimState.RELEASED

    def regrant(self, attempt: str, forget_ms: int) -> None:
        """Grant a released claim to another attempt."""
        self.state = ClaimState.HELD
        self.attempt = attempt
        self.forget_ms = max(self.forget_ms, forget_ms)

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Record that the request ran, and its answer unless that is None."""
        self.state = ClaimState.FINISHED
        self.answer = answer
