"""Queueing, admission and shedding of requests."""

from lagoonbend._internal.queueing.admission_control import AdmissionControl
from lagoonbend._internal.queueing.queued_call import QueuedCall
from lagoonbend._internal.queueing.tier_queue import Offer
from lagoonbend._internal.queueing.tier_queue import TierQueue
from lagoonbend._internal.queueing.waiter import Waiter

__all__ = [
    'AdmissionControl',
    'QueuedCall',
    'Offer',
    'TierQueue',
    'Waiter',
]
