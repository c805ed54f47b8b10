"""Settings of a simulation run."""

from typing import NamedTuple


class ModelSettings(NamedTuple):
    """Settings of a run.

    :param policy: registered policy that selects a target.
    :param seed: seed of all random choices; the same seed repeats the run.
    :param load: offered load as a share of the engines' capacity.
    :param lag_ms: age of load reports and cache events when they arrive.
    :param is_oracle: True if each decision uses the exact load, speed and
        caches of the engines.
    :param duration_ms: time in which requests arrive.
    :param burst_factor: load in the middle fifth of the run, relative to
        the rest.
    :param slowdown: factor by which some engines slow down in the middle of
        the run.
    :param slowed_engine_count: number of engines that slow down.
    :param has_tiers: False if all requests have the same rank.
    :param outstanding_limit: maximum number of requests that an instance
        has at one target.
    :param backlog_limit_ms: maximum expected backlog of a target that may
        get a request of the most urgent tier.
    :param preempt_slack_ms: time before the deadline of a waiting request at
        which a running request of a lower tier is cancelled for it.
    :param queue_capacity: maximum number of waiting requests.
    """

    policy: str = 'expected_time'
    seed: int = 1
    load: float = 0.9
    lag_ms: int = 1_000
    is_oracle: bool = False
    duration_ms: int = 60_000
    burst_factor: float = 1.0
    slowdown: int = 1
    slowed_engine_count: int = 0
    has_tiers: bool = True
    outstanding_limit: int = 64
    backlog_limit_ms: int = 300
    preempt_slack_ms: int = 500
    queue_capacity: int = 256
