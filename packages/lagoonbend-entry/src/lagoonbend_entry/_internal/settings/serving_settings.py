"""Section ``[serving]``."""

from typing import NamedTuple


class ServingSettings(NamedTuple):
    """Admission, routing and shutdown.

    :param queue_capacity: greatest number of waiting requests.
    :param policy: registered policy that chooses a target.
    :param outstanding_limit: greatest number of requests at one target.
    :param connect_timeout_ms: time to connect to a target.
    :param target_timeout_ms: greatest silence of a target.
    :param drain_notice_ms: time for the balancer to notice a shutdown.
    :param drain_timeout_ms: greatest time to finish requests on shutdown.
    """

    queue_capacity: int = 256
    policy: str = 'least_outstanding'
    outstanding_limit: int = 16
    connect_timeout_ms: int = 500
    target_timeout_ms: int = 30_000
    drain_notice_ms: int = 2_000
    drain_timeout_ms: int = 120_000
