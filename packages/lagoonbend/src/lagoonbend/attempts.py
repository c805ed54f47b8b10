"""One attempt to serve a call, as steps without any socket."""

from lagoonbend._internal.attempts import refusals
from lagoonbend._internal.attempts.attempt_path import AttemptPath
from lagoonbend._internal.attempts.dispatched import Dispatched
from lagoonbend._internal.attempts.dispatched import Outcome
from lagoonbend._internal.attempts.dispatched import Replayed
from lagoonbend._internal.attempts.retry_budget import RetryBudget
from lagoonbend._internal.attempts.step import Step
from lagoonbend._internal.attempts.steps.abandon import Abandon
from lagoonbend._internal.attempts.steps.admit import Admit
from lagoonbend._internal.attempts.steps.connect import Connect
from lagoonbend._internal.attempts.steps.fetch_nonce import FetchNonce
from lagoonbend._internal.attempts.steps.finish_claim import FinishClaim
from lagoonbend._internal.attempts.steps.leave import Leave
from lagoonbend._internal.attempts.steps.release_claim import ReleaseClaim
from lagoonbend._internal.attempts.steps.send_claim import SendClaim
from lagoonbend._internal.attempts.steps.write import Write

__all__ = [
    'Abandon',
    'Admit',
    'AttemptPath',
    'Connect',
    'Dispatched',
    'FetchNonce',
    'FinishClaim',
    'Leave',
    'Outcome',
    'ReleaseClaim',
    'Replayed',
    'RetryBudget',
    'SendClaim',
    'Step',
    'Write',
    'refusals',
]
