"""What an instance knows of one target."""

from lagoonbend._internal.models.load_report import LoadReport
from lagoonbend._internal.models.target import Target
from lagoonbend._internal.routing.work_estimate import WorkEstimate

INITIAL_TOKENS_PER_S = 1000.0
LEARNING_RATE = 0.2


class TargetState:
    """The changing part of an instance's knowledge of a target.

    :param target: what the platform lists.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.outstanding = 0
        self.outstanding_tokens = 0
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self.report: LoadReport | None = None
        self.avoid_until_ms = 0

    def begin(self, work: WorkEstimate) -> None:
        """Count a dispatched request."""
        self.outstanding += 1
        self.outstanding_tokens += work.tokens

    def end(self, work: WorkEstimate) -> None:
        """Count a request as over."""
        self.outstanding -= 1
        self.outstanding_tokens -= work.tokens

    def learn(self, tokens: int, elapsed_ms: int) -> None:
        """Move the learned speed towards what one request has shown."""
        if tokens <= 0 or elapsed_ms <= 0:
            return
        seen = tokens * 1000 / elapsed_ms
        self.tokens_per_s += LEARNING_RATE * (seen - self.tokens_per_s)
