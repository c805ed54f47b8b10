"""A route from callers to services."""

from typing import NamedTuple

from lagoonbend._internal.facts.weighted_service import WeightedService


class Route(NamedTuple):
    """Configuration of the requests for one host and path prefix.

    :param name: name of the route.
    :param host: host name in the request.
    :param path_prefix: begins and ends with a slash.
    :param services: services that may run the requests.
    :param is_idempotent: True if a request may run more than once.
    :param is_streaming: True if answers are event streams.
    :param is_resumable: True if a stream may be resumed at another target.
    :param timeout_ms: maximum time that a caller waits.
    :param objective_ms: latency objective: time to the answer, or to the first
        event of a stream, within which it has its full value.
    :param gap_objective_ms: objective for the time between two events.
    :param attempt_limit: maximum number of targets that run one request.
    :param rank: rank of the route; 0 is the most urgent.
    :param is_public: True if requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    is_idempotent: bool
    is_streaming: bool
    is_resumable: bool
    timeout_ms: int
    objective_ms: int
    gap_objective_ms: int
    attempt_limit: int
    rank: int
    is_public: bool

    @property
    def may_repeat(self) -> bool:
        """True if a request may be retried although it may have run."""
        if self.is_streaming:
            return self.is_resumable
        return self.is_idempotent
