"""Settings of a run of the model."""

from typing import NamedTuple


class ModelSettings(NamedTuple):
    """Settings of a run.

    :param policy: registered policy that chooses a target.
    :param seed: replays the run.
    :param load: share of the engines' capacity that is asked for.
    :param lag_ms: age of a load report when it arrives.
    :param is_oracle: True if reports are fresh at every decision, and
        speeds and caches are known.
    :param duration_ms: time in which requests arrive.
    :param burst_factor: load of the middle fifth, relative to the rest.
    :param slowdown: factor by which some engines slow down half-way.
    :param slowed: number of engines that slow down.
    :param has_tiers: False if all requests are treated alike.
    :param outstanding_limit: greatest number of requests of an instance at
        one target.
    :param backlog_limit_ms: greatest expected backlog of a target that gets
        a request of the most urgent tier.
    :param preempt_slack_ms: time before a deadline at which a running
        request of a lower tier is given up.
    :param queue_capacity: greatest number of waiting requests.
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
