"""All settings of an instance."""

from typing import NamedTuple

from lagoonbend_entry._internal.settings import instance_settings
from lagoonbend_entry._internal.settings import listener_settings
from lagoonbend_entry._internal.settings import platform_settings
from lagoonbend_entry._internal.settings import serving_settings
from lagoonbend_entry._internal.settings.claims_settings import ClaimsSettings
from lagoonbend_entry._internal.settings.faults_settings import FaultsSettings


class Settings(NamedTuple):
    """Settings by section; the field names are the section names."""

    instance: instance_settings.InstanceSettings
    callers: listener_settings.CallersSettings
    operators: listener_settings.OperatorsSettings
    peers: listener_settings.PeersSettings
    platform: platform_settings.PlatformSettings
    claims: ClaimsSettings
    serving: serving_settings.ServingSettings
    faults: FaultsSettings
