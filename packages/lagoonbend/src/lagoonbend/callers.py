"""Advice for callers: when to repeat a request, and with which key."""

from lagoonbend._internal.callers.advice import Advice
from lagoonbend._internal.callers.keyed_request import KeyedRequest

__all__ = ['Advice', 'KeyedRequest']
