"""The exception hierarchy of lagoonbend."""

from lagoonbend._internal.exceptions import CallerGoneError
from lagoonbend._internal.exceptions import ConfigurationError
from lagoonbend._internal.exceptions import DispatchError
from lagoonbend._internal.exceptions import DocumentError
from lagoonbend._internal.exceptions import InvariantViolation
from lagoonbend._internal.exceptions import LagoonbendError
from lagoonbend._internal.exceptions import NetworkError
from lagoonbend._internal.exceptions import PeerError
from lagoonbend._internal.exceptions import PlatformError
from lagoonbend._internal.exceptions import RefusedError
from lagoonbend._internal.exceptions import SettingsError
from lagoonbend._internal.exceptions import TicketError

__all__ = [
    'CallerGoneError',
    'ConfigurationError',
    'DispatchError',
    'DocumentError',
    'InvariantViolation',
    'LagoonbendError',
    'NetworkError',
    'PeerError',
    'PlatformError',
    'RefusedError',
    'SettingsError',
    'TicketError',
]
