"""The exception tree of lagoonbend.

Each error says what happened, in which context, and what to do about it.
"""

from lagoonbend._internal.models.refusal import Refusal
from lagoonbend._internal.models.verdict import Verdict


class LagoonbendError(Exception):
    """Base of all errors raised by lagoonbend.

    :param message: what happened.
    :param context: where it happened, for example a file and a key.
    :param hint: what the reader can do about it.
    """

    def __init__(
        self, message: str, *, context: str = '', hint: str = ''
    ) -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        parts = [self.context, self.message, self.hint]
        return ': '.join(part for part in parts if part)


class ConfigurationError(LagoonbendError):
    """Settings or a document that can't be used."""


class SettingsError(ConfigurationError):
    """A settings file with an unknown, missing or malformed key."""


class DocumentError(ConfigurationError):
    """A configuration document that fails validation."""


class InvariantViolation(LagoonbendError):
    """A property that must always hold was found broken."""


class TicketError(LagoonbendError):
    """A ticket that is malformed or was not issued for this customer."""


class NetworkError(LagoonbendError):
    """A peer, the platform or a target could not be used."""


class PeerError(NetworkError):
    """A peer could not be reached or gave no usable answer."""


class PlatformError(NetworkError):
    """The platform could not be reached or gave no usable answer."""


class DispatchError(NetworkError):
    """A dispatch failed.

    :param verdict: whether the request may have run at the target.
    """

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict,
        context: str = '',
        hint: str = '',
    ) -> None:
        super().__init__(message, context=context, hint=hint)
        self.verdict = verdict


class RefusedError(LagoonbendError):
    """A request that is answered with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, context=refusal.code.value)
        self.refusal = refusal


class CallerGoneError(LagoonbendError):
    """The caller left before its answer; nobody waits for it any more."""
