"""One attempt to serve a call."""

from lagoonbend.models import Call
from lagoonbend.models import Verdict


class Attempt:
    """State of an attempt, for its verdict and for the dump.

    :param call: the call.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.verdict = Verdict.NOT_RUN
        self.dispatches = 0
        self.target = ''

    @property
    def dispatch(self) -> str:
        """Identity of the latest dispatch."""
        return f'{self.call.attempt}.{self.dispatches}'

    def write(self, target: str) -> None:
        """Note that the request is about to be written to a target."""
        self.target = target
        self.dispatches += 1
        self.verdict = Verdict.MAY_HAVE_RUN

    def complete(self) -> None:
        """Note that the whole answer has come."""
        self.verdict = Verdict.RAN
