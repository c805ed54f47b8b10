"""Step: tell the holder of a key that the request has run."""

from typing import NamedTuple

from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.recorded_answer import RecordedAnswer


class FinishClaim(NamedTuple):
    """Tell the holder of a key that the request has run.

    No result and no error: delivery is tried in the background.

    :param permit: the claim.
    :param answer: the answer for repeats, if it is small.
    """

    permit: Permit
    answer: RecordedAnswer | None
