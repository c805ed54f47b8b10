"""An attempt in a simulated fleet, suspended between two steps."""

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
    """Runs the steps of an attempt one at a time.

    ``step`` is the pending step, ``pending_message`` the message whose reply
    it waits for, if any.

    :param process: process that serves the call.
    :param caller: caller that sent the request.
    :param call_attempt: the real attempt, whose steps are run here.
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
        self.pending_message: Message | None = None
        self.attempt_result: Any = None
        self.refusal: Refusal | None = None
        self._steps = call_attempt.run()
        self.step: Step | None = None
        self._resume(lambda: next(self._steps))

    @property
    def is_over(self) -> bool:
        """True once the attempt has a result or a refusal."""
        return self.step is None

    def send(self, result: Any) -> None:
        """Resume the attempt with the result of the pending step."""
        self._resume(lambda: self._steps.send(result))

    def throw(self, error: LagoonbendError) -> None:
        """Resume the attempt with the failure of the pending step."""
        self._resume(lambda: self._steps.throw(error))

    def _resume(self, resume: Any) -> None:
        self.pending_message = None
        try:
            self.step = resume()
        except StopIteration as end:
            self.step = None
            self.attempt_result = end.value
        except RefusedError as error:
            self.step = None
            self.refusal = error.refusal
