"""A request on its way from a caller to a process."""

from typing import NamedTuple

from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess


class Arrival(NamedTuple):
    """A connection whose request was not read yet.

    :param process: process that holds the connection.
    :param caller: who sent the request.
    :param connected_ms: when the connection was accepted, on the world's
        clock.
    """

    process: VirtualProcess
    caller: VirtualCaller
    connected_ms: int
