"""Attempts to serve a call, as generators of steps without I/O."""

from lagoonbend._internal.attempts import refusals
from lagoonbend._internal.attempts.call_attempt import CallAttempt
from lagoonbend._internal.attempts.dispatched import AttemptResult
from lagoonbend._internal.attempts.dispatched import Dispatched
from lagoonbend._internal.attempts.dispatched import Replayed
from lagoonbend._internal.attempts.retry_budget import RetryBudget
from lagoonbend._internal.attempts.step import Step
from lagoonbend._internal.attempts.steps.admit import Admit
from lagoonbend._internal.attempts.steps.close import CloseConnection
from lagoonbend._internal.attempts.steps.connect import Connect
from lagoonbend._internal.attempts.steps.fetch_nonce import FetchNonce
from lagoonbend._internal.attempts.steps.finish_claim import FinishClaim
from lagoonbend._internal.attempts.steps.release_claim import ReleaseClaim
from lagoonbend._internal.attempts.steps.release_target import ReleaseTarget
from lagoonbend._internal.attempts.steps.send_claim import SendClaim
from lagoonbend._internal.attempts.steps.send_request import SendRequest

__all__ = [
    'CloseConnection',
    'Admit',
    'CallAttempt',
    'Connect',
    'Dispatched',
    'FetchNonce',
    'FinishClaim',
    'ReleaseTarget',
    'AttemptResult',
    'ReleaseClaim',
    'Replayed',
    'RetryBudget',
    'SendClaim',
    'Step',
    'SendRequest',
    'refusals',
]
