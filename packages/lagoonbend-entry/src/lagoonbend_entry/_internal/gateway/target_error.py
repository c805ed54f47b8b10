"""Errors of a connection to a target."""

from lagoonbend.exceptions import NetworkError


class NotConnectedError(NetworkError):
    """No connection could be opened; nothing was sent."""


class TargetGoneError(NotConnectedError):
    """No process listens at the target's address."""


class ConnectionLostError(NetworkError):
    """The connection ended before the answer was whole."""


class SilentTargetError(NetworkError):
    """Nothing came within the time given."""


class BadAnswerError(NetworkError):
    """Bytes came that are no whole answer to the request."""
