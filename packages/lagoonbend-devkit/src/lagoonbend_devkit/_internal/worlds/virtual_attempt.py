"""An attempt in a world, between two steps."""

from typing import Any

from lagoonbend.attempts import CallAttempt
from lagoonbend.attempts import Step
from lagoonbend.exceptions import LagoonbendError
from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Refusal
from lagoonbend_devkit._internal.worlds.message import Message
from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess


class VirtualAttempt:
    """Drives the steps of an attempt one at a time.

    :param process: process that serves the call.
    :param caller: who asked.
    :param call_attempt: the attempt.
    """

    def __init__(
        self,
        process: VirtualProcess,
        caller: VirtualCaller,
        call_attempt: CallAttempt,
    ) -> None:
        self.process = process
        self.caller = caller
        self.call_attempt = call_attempt
        self.waits_for: Message | None = None
        self.outcome: Any = None
        self.refusal: Refusal | None = None
        self._steps = call_attempt.run()
        self.step: Step | None = None
        self._advance(lambda: next(self._steps))

    @property
    def is_over(self) -> bool:
        """True once the attempt has an outcome or a refusal."""
        return self.step is None

    def send(self, result: Any) -> None:
        """Go on with the result of the pending step."""
        self._advance(lambda: self._steps.send(result))

    def throw(self, error: LagoonbendError) -> None:
        """Go on with the failure of the pending step."""
        self._advance(lambda: self._steps.throw(error))

    def _advance(self, move: Any) -> None:
        self.waits_for = None
        try:
            self.step = move()
        except StopIteration as end:
            self.step = None
            self.outcome = end.value
        except RefusedError as error:
            self.step = None
            self.refusal = error.refusal
