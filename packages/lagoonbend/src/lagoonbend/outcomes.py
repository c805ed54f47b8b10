"""Outcomes of attempts, and the decision on a retry."""

from lagoonbend._internal.outcomes.attempt_outcome import AttemptOutcome
from lagoonbend._internal.outcomes.attempt_rules import decide_next_step
from lagoonbend._internal.outcomes.attempt_rules import RetryContext
from lagoonbend._internal.outcomes.next_step import NextStep
from lagoonbend._internal.outcomes.send_record import Send
from lagoonbend._internal.outcomes.send_record import SendRecord
from lagoonbend._internal.retries.retry_share import RetryShare

__all__ = [
    'AttemptOutcome',
    'RetryContext',
    'NextStep',
    'RetryShare',
    'Send',
    'SendRecord',
    'decide_next_step',
]
