"""A target as the platform lists it."""

from collections.abc import Iterable
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
    :param cold_ms: time for which it is still cold, as it registered; None if
        it isn't known.
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
    cold_ms: int | None = None

    def is_same_life(self, known: 'ListedTarget') -> bool:
        """Return True if this registers a known life of the target.

        A registration with an earlier start is an older copy of it.
        """
        if self.born_ms is not None and known.born_ms is not None:
            return self.born_ms <= known.born_ms
        return (self.ip, self.port) == (known.ip, known.port)

    def started_before(self, others: Iterable['ListedTarget']) -> bool:
        """Return True if this life began before each of some others.

        That isn't so if a start isn't known.
        """
        born_ms = self.born_ms
        return born_ms is not None and all(
            other.born_ms is not None and born_ms < other.born_ms
            for other in others
        )

    def is_followed_by(self, later: 'ListedTarget') -> bool:
        """Return True if a registration is of a later life."""
        if self.born_ms is None or later.born_ms is None:
            return False
        return self.born_ms < later.born_ms
