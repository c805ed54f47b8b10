"""A message between two processes of a world."""

from collections.abc import Callable
from typing import Any

from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess


class Message:
    """A question on its way, or its answer on its way back.

    :param sender: process that asks.
    :param address: address that is asked.
    :param run: what the asked process does.
    :param receive: what the sender does with the result; None if nothing.
    """

    def __init__(
        self,
        sender: VirtualProcess,
        address: str,
        run: Callable[[VirtualProcess], Any],
        receive: Callable[[Any], None] | None = None,
    ) -> None:
        self.sender = sender
        self.address = address
        self.run = run
        self.receive = receive
        self.answerer: VirtualProcess | None = None
        self.result: Any = None
