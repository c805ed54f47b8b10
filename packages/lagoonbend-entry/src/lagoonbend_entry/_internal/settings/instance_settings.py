"""Section ``[instance]``."""

from typing import NamedTuple


class InstanceSettings(NamedTuple):
    """Identity of the instance.

    :param name: name of the instance, unique in the fleet.
    :param partner: partner whose callers the instance serves.
    :param failure_domain: failure domain of the instance.
    """

    name: str
    partner: str
    failure_domain: str
