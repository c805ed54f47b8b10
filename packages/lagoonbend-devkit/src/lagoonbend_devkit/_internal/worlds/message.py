"""A message between two simulated processes."""

from collections.abc import Callable
from typing import Any

from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess


class Message:
    """A request in transit, or its reply once ``responder`` is set.

    :param sender: process that sends the request.
    :param address: peer address that it is sent to.
    :param handle: handles the request at the responder; returns the reply.
    :param receive: passes the reply to the sender; None if there is none.
    """

    def __init__(
        self,
        sender: VirtualProcess,
        address: str,
        handle: Callable[[VirtualProcess], Any],
        receive: Callable[[Any], None] | None = None,
    ) -> None:
        self.sender = sender
        self.address = address
        self.handle = handle
        self.receive = receive
        self.responder: VirtualProcess | None = None
        self.result: Any = None
