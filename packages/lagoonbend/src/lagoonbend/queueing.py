"""Waiting requests, admission and shedding."""

from lagoonbend._internal.queueing.tier_queue import Offer
from lagoonbend._internal.queueing.tier_queue import TierQueue
from lagoonbend._internal.queueing.waiter import Waiter

__all__ = ['Offer', 'TierQueue', 'Waiter']
