"""A route from callers to services."""

from typing import NamedTuple

from lagoonbend._internal.facts.weighted_service import WeightedService


class Route(NamedTuple):
    """What operators say of the requests of one host and path prefix.

    :param name: name of the route.
    :param host: host that callers name.
    :param path_prefix: begins and ends with a slash.
    :param services: services that may run the requests.
    :param is_idempotent: True if a request may run more than once.
    :param is_streaming: True if answers are streams of events.
    :param is_resumable: True if a stream may go on at another target.
    :param timeout_ms: longest time that a caller may be kept waiting.
    :param objective_ms: time to the answer, or to the first event of a
        stream, within which it has its full worth.
    :param gap_objective_ms: longest pause between events on time.
    :param attempt_limit: greatest number of targets that run one request.
    :param rank: importance; 0 is the most urgent.
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
        """True if a request may be sent again after it may have run."""
        if self.is_streaming:
            return self.is_resumable
        return self.is_idempotent
