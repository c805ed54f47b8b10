"""All steps of an attempt."""

from lagoonbend._internal.attempts.steps.abandon import Abandon
from lagoonbend._internal.attempts.steps.admit import Admit
from lagoonbend._internal.attempts.steps.connect import Connect
from lagoonbend._internal.attempts.steps.fetch_nonce import FetchNonce
from lagoonbend._internal.attempts.steps.finish_claim import FinishClaim
from lagoonbend._internal.attempts.steps.leave import Leave
from lagoonbend._internal.attempts.steps.release_claim import ReleaseClaim
from lagoonbend._internal.attempts.steps.send_claim import SendClaim
from lagoonbend._internal.attempts.steps.write import Write

Step = (
    FetchNonce
    | SendClaim
    | ReleaseClaim
    | FinishClaim
    | Admit
    | Connect
    | Abandon
    | Write
    | Leave
)
