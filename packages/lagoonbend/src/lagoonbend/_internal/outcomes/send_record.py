"""Which sends of a call may have run it."""

from typing import Protocol

from lagoonbend._internal.models.verdict import Verdict
from lagoonbend._internal.outcomes.attempt_outcome import AttemptOutcome


class Send(Protocol):
    """An attempt to have a call run, at a target or at another instance."""

    @property
    def is_sent(self) -> bool:
        """True from the moment at which the first byte may have been sent."""


class SendRecord:
    """All attempts of one call.

    An attempt that was sent counts as one that may have run until its outcome
    shows otherwise. So one that is interrupted, by whatever error, needs no
    handling to count.
    """

    def __init__(self) -> None:
        self._open: list[Send] = []

    @property
    def may_have_run(self) -> bool:
        """True unless it is certain that no attempt has run the call."""
        return any(send.is_sent for send in self._open)

    def add(self, send: Send) -> None:
        """Add an attempt, before it is sent."""
        self._open.append(send)

    def close(self, send: Send, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended that was not interrupted."""
        if outcome.verdict is Verdict.NOT_RUN:
            self.rule_out(send)

    def rule_out(self, send: Send) -> None:
        """Record that an attempt has not run the call, and never will."""
        if send in self._open:
            self._open.remove(send)
