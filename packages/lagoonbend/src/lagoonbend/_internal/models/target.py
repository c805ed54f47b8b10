"""A target of the fleet."""

from typing import NamedTuple


class Target(NamedTuple):
    """A model engine or plain service as the platform lists it.

    :param target: name, unique in the fleet.
    :param kind: ``engine`` or ``service``.
    :param ip: IP number.
    :param port: TCP port.
    :param failure_domain: domain it stands in.
    :param models: models an engine serves; empty for a service.
    :param leaving: True once the platform lists it as leaving.
    """

    target: str
    kind: str
    ip: str
    port: int
    failure_domain: str
    models: tuple[str, ...] = ()
    leaving: bool = False
