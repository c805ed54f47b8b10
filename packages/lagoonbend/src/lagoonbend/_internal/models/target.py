"""A target of the fleet."""

from typing import NamedTuple


class Target(NamedTuple):
    """A model engine or plain service as the platform lists it.

    :param target: name of the target, unique in the fleet.
    :param kind: ``engine`` or ``service``.
    :param ip: IP address.
    :param port: TCP port.
    :param failure_domain: failure domain that it runs in.
    :param models: models that an engine serves; empty for a plain service.
    :param leaving: True once the platform lists it as leaving.
    """

    target: str
    kind: str
    ip: str
    port: int
    failure_domain: str
    models: tuple[str, ...] = ()
    leaving: bool = False
