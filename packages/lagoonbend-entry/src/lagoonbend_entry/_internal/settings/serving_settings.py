"""Section ``[serving]``."""

from typing import NamedTuple


class ServingSettings(NamedTuple):
    """Admission, routing and shutdown.

    :param queue_capacity: greatest number of waiting requests.
    :param policy: registered policy that chooses a target.
    :param outstanding_limit: greatest number of requests at one target.
    :param backlog_limit_ms: greatest expected time to the first token at a
        target that gets a request of the most urgent tier.
    :param preempt_slack_ms: time before its deadline at which a waiting
        request takes the place of a running one of a lower tier.
    :param connect_timeout_ms: time to connect to a target.
    :param target_timeout_ms: greatest silence of a target.
    :param drain_notice_ms: time for the balancer to notice a shutdown.
    :param drain_timeout_ms: greatest time to finish requests on shutdown.
    """

    queue_capacity: int = 256
    policy: str = 'expected_time'
    outstanding_limit: int = 64
    backlog_limit_ms: int = 300
    preempt_slack_ms: int = 500
    connect_timeout_ms: int = 500
    target_timeout_ms: int = 30_000
    drain_notice_ms: int = 2_000
    drain_timeout_ms: int = 120_000
