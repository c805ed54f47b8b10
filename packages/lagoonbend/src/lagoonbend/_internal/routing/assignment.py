"""The assignment of a request to a target."""

from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.work_estimate import WorkEstimate


class Assignment:
    """A request that this instance has assigned to a target.

    :param state: the target.
    :param work: estimated work of the request.
    :param started_ms: when it was assigned, on the instance's clock.
    :param backlog_tokens: estimated backlog of the target at that time.
    """

    __slots__ = (
        'backlog_tokens',
        'first_token_ms',
        'started_ms',
        'state',
        'work',
    )

    def __init__(
        self,
        state: TargetState,
        work: WorkEstimate,
        started_ms: int,
        backlog_tokens: float = 0.0,
    ) -> None:
        self.state = state
        self.work = work
        self.started_ms = started_ms
        self.backlog_tokens = backlog_tokens
        self.first_token_ms: int | None = None

    def record_first_token(self, now_ms: int) -> None:
        """Record the first token: the target has computed the prompt."""
        if self.first_token_ms is not None:
            return
        self.first_token_ms = now_ms
        expected = self.backlog_tokens + self.work.prompt_tokens
        self.state.update_speed(expected, now_ms - self.started_ms)
        self.state.record_prefill(self.work)

    def record_end(self, tokens: int, now_ms: int) -> None:
        """Record that the target has generated its last token."""
        if self.first_token_ms is None or tokens <= 1:
            return
        span_ms = now_ms - self.first_token_ms
        self.state.update_token_gap(span_ms / (tokens - 1))
