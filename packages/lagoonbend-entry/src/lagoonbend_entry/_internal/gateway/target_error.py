"""Errors of a connection to a target."""

from lagoonbend.exceptions import NetworkError


class NotConnectedError(NetworkError):
    """The connection could not be opened; nothing was sent."""


class TargetAbsentError(NotConnectedError):
    """The connection was refused: no process listens at the address."""


class ConnectionLostError(NetworkError):
    """The connection ended before the answer was complete."""


class TargetTimeoutError(NetworkError):
    """The target did not read or send bytes in time."""


class BadAnswerError(NetworkError):
    """The bytes received are no valid, complete answer to the request."""
