"""An instance as seen by its peers."""

from typing import NamedTuple


class Peer(NamedTuple):
    """An instance that the platform lists.

    :param instance: name of the instance.
    :param ip: IP address of its peer listener.
    :param port: TCP port of its peer listener.
    :param failure_domain: failure domain that it runs in.
    :param leaving: True once the platform lists it as leaving.
    """

    instance: str
    ip: str
    port: int
    failure_domain: str
    leaving: bool = False

    @property
    def address(self) -> str:
        """Address of the peer listener as ``ip:port``."""
        return f'{self.ip}:{self.port}'
