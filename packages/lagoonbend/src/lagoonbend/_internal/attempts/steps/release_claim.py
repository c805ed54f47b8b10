"""Step: release the claim of an attempt that will never dispatch."""

from typing import NamedTuple

from lagoonbend._internal.models.permit import Permit


class ReleaseClaim(NamedTuple):
    """Release the claim of an attempt that will never dispatch.

    No result and no error: delivery is tried in the background.

    :param permit: the granted claim.
    """

    permit: Permit
