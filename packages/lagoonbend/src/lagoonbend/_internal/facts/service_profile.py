"""A service in the configuration."""

from typing import NamedTuple


class ServiceProfile(NamedTuple):
    """Properties of a service that scheduling depends on.

    :param name: name of the service.
    :param connection_limit: connections that a target accepts from all
        instances together; 0 if unknown.
    :param is_engine: True if its targets are model engines.
    :param memory_tokens: tokens that an engine's memory holds; 0 if unknown.
    :param health_path: path at which targets tell their health; empty if
        unknown.
    :param cold_start_ms: time for which a target is cold after its start.
    :param cold_rate_per_s: calls a second that a cold target bears from all
        instances together; 0 for no limit.
    """

    name: str
    connection_limit: int = 0
    is_engine: bool = False
    memory_tokens: int = 0
    health_path: str = ''
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0.0
