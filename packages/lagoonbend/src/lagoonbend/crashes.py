"""Calls under which targets end, and the evidence against them."""

from lagoonbend._internal.crashes.blocked_call import BlockedCall
from lagoonbend._internal.crashes.carrier_kind import describe_carrier
from lagoonbend._internal.crashes.carrier_kind import is_request
from lagoonbend._internal.crashes.carrier_kind import name_request
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence
from lagoonbend._internal.crashes.crash_suspects import CrashSuspects
from lagoonbend._internal.crashes.sound_carrier import SoundCarrier

__all__ = [
    'BlockedCall',
    'CrashEvidence',
    'CrashSuspects',
    'SoundCarrier',
    'describe_carrier',
    'is_request',
    'name_request',
]
