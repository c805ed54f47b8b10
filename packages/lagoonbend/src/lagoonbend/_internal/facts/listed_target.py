"""A target as the platform lists it."""

from typing import NamedTuple


class ListedTarget(NamedTuple):
    """A server that registered itself.

    :param target: identity of this registration, unique in the fleet.
    :param service: service it belongs to.
    :param ip: IP number.
    :param port: TCP port.
    :param failure_domain: domain it stands in.
    :param slots: requests that it runs at once.
    :param is_leaving: True once it takes no new work.
    """

    target: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
