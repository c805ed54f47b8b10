"""Step: report to the holder of a key that the request has run."""

from typing import NamedTuple

from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.recorded_answer import RecordedAnswer


class FinishClaim(NamedTuple):
    """Report to the holder of a key that the request has run.

    No result and no error: delivery is tried in the background.

    :param permit: the granted claim.
    :param answer: the answer to record for repeats; None if it is too large.
    """

    permit: Permit
    answer: RecordedAnswer | None
