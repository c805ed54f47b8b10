"""A period during which a target was registered as ready."""

import math
from typing import NamedTuple


class TargetPeriod(NamedTuple):
    """From the registration of a target until a release lets it drain.

    Periods during which a fault let it drain for a while belong to it.

    :param service: name of the service.
    :param version: version of its software.
    :param start_s: start, on the monotonic clock.
    :param end_s: end, on the monotonic clock.
    """

    service: str
    version: str
    start_s: float = 0.0
    end_s: float = math.inf
