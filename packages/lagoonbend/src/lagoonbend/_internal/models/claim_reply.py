"""The answer to a claim."""

from typing import NamedTuple

from lagoonbend._internal.models.claim_decision import ClaimDecision
from lagoonbend._internal.models.recorded_answer import RecordedAnswer
from lagoonbend._internal.models.verdict import Verdict


class ClaimReply(NamedTuple):
    """The reply of the holder of a key to a claim.

    :param decision: whether this attempt may dispatch, and if not, why.
    :param verdict: whether the key may have run in an earlier attempt.
    :param answer: the recorded answer, if the request has run to completion
        and its answer was recorded.
    """

    decision: ClaimDecision
    verdict: Verdict
    answer: RecordedAnswer | None = None
