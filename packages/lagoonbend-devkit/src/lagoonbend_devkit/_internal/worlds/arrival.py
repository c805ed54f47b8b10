"""A request that a process has not read yet."""

from typing import NamedTuple

from lagoonbend_devkit._internal.worlds.virtual_caller import VirtualCaller
from lagoonbend_devkit._internal.worlds.virtual_process import VirtualProcess


class Arrival(NamedTuple):
    """An accepted connection whose request was not read yet.

    :param process: process that accepted the connection.
    :param caller: caller that sent the request.
    :param connected_ms: when the connection was accepted, on the clock of
        the simulation.
    """

    process: VirtualProcess
    caller: VirtualCaller
    connected_ms: int
