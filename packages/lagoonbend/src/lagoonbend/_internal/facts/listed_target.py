"""A target as the platform lists it."""

from typing import NamedTuple


class ListedTarget(NamedTuple):
    """A server that registered itself.

    :param target: identity of this registration, unique in the fleet.
    :param service: name of the service it belongs to.
    :param ip: IP address.
    :param port: TCP port.
    :param failure_domain: failure domain in which it runs.
    :param slots: number of requests that it runs at once.
    :param is_leaving: True once it accepts no new requests.
    :param software_version: version of its software; None if it isn't known,
        which is the same as that of no other target.
    :param born_ms: start of this life of the server, in Unix milliseconds of
        its own clock; None if it isn't known.
    """

    target: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    software_version: str | None = None
    born_ms: int | None = None
