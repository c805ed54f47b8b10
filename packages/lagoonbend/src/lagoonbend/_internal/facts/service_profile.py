"""What operators say of a service."""

from typing import NamedTuple


class ServiceProfile(NamedTuple):
    """A service.

    :param name: name of the service.
    :param connection_limit: connections that a target takes from all
        instances together; 0 if unknown.
    :param is_engine: True if its targets are model engines.
    :param memory_tokens: tokens that an engine's memory holds; 0 if unknown.
    """

    name: str
    connection_limit: int = 0
    is_engine: bool = False
    memory_tokens: int = 0
