"""Section ``[instance]``."""

from typing import NamedTuple


class InstanceSettings(NamedTuple):
    """Who this instance is.

    :param name: name of the instance, unique in the fleet.
    :param partner: partner whose callers it serves.
    :param failure_domain: domain it stands in.
    """

    name: str
    partner: str
    failure_domain: str
