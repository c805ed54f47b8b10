"""Errors of the platform's store that its readers handle."""

from lagoonbend.exceptions import PlatformError


class PageTooLargeError(PlatformError):
    """An answer of the store exceeds its limit of bytes."""


class PageTooSlowError(PlatformError):
    """An answer of the store has begun, and its end takes too long."""


class HistoryLostError(PlatformError):
    """The store no longer has the changes since a revision."""
