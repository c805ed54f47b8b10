"""All steps of an attempt."""

from lagoonbend._internal.attempts.steps.admit import Admit
from lagoonbend._internal.attempts.steps.close import CloseConnection
from lagoonbend._internal.attempts.steps.connect import Connect
from lagoonbend._internal.attempts.steps.fetch_nonce import FetchNonce
from lagoonbend._internal.attempts.steps.finish_claim import FinishClaim
from lagoonbend._internal.attempts.steps.release_claim import ReleaseClaim
from lagoonbend._internal.attempts.steps.release_target import ReleaseTarget
from lagoonbend._internal.attempts.steps.send_claim import SendClaim
from lagoonbend._internal.attempts.steps.send_request import SendRequest

Step = (
    FetchNonce
    | SendClaim
    | ReleaseClaim
    | FinishClaim
    | Admit
    | Connect
    | CloseConnection
    | SendRequest
    | ReleaseTarget
)
