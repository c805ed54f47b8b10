"""How attempts end and what follows."""

from lagoonbend._internal.outcomes.attempt_end import AttemptEnd
from lagoonbend._internal.outcomes.attempt_rules import AttemptFacts
from lagoonbend._internal.outcomes.attempt_rules import decide_next_step
from lagoonbend._internal.outcomes.next_step import NextStep
from lagoonbend._internal.retries.retry_share import RetryShare

__all__ = [
    'AttemptEnd',
    'AttemptFacts',
    'NextStep',
    'RetryShare',
    'decide_next_step',
]
