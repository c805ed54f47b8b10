"""Section ``[serving]``."""

from typing import NamedTuple


class ServingSettings(NamedTuple):
    """Admission, routing and shutdown.

    :param queue_capacity: maximum number of waiting requests.
    :param policy: name of the registered policy that chooses a target.
    :param outstanding_limit: maximum number of requests at one target.
    :param backlog_limit_ms: maximum expected time to the first token at a
        target, for a request of the most urgent tier to be assigned there.
    :param preempt_slack_ms: remaining slack of a waiting request at which it
        preempts a running one of a lower tier.
    :param connect_timeout_ms: timeout for connecting to a target.
    :param target_timeout_ms: maximum time without data from a target.
    :param drain_notice_ms: time on shutdown in which new requests are still
        accepted, until the load balancer notices that the instance is not
        ready.
    :param drain_timeout_ms: maximum time on shutdown to finish requests.
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
