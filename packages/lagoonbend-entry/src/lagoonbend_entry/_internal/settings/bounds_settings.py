"""Section ``[bounds]``."""

from typing import NamedTuple


class BoundsSettings(NamedTuple):
    """Bounds that the operators of a deployment set.

    :param revoke_ms: maximum time from the publication of a configuration
        until keys that it no longer contains are rejected.
    :param config_apply_ms: maximum time from the publication of a
        configuration until it is in force.
    :param drain_ms: maximum time from the publication that a target leaves
        until it gets no more requests.
    :param retry_ratio: allowed retries per request to a service.
    :param retry_slack: additional retries allowed in a window, over all
        instances.
    :param retry_window_s: length of that window.
    :param limit_overshoot_ratio: tolerated excess over a customer's limit in
        a window, as a fraction of the limit.
    :param limit_slack: additional tolerated units in a window.
    :param limit_window_s: length of that window.
    :param cold_overshoot_ratio: tolerated multiple of the rate of a cold
        target in a second.
    :param cold_slack: additional tolerated calls to it in a second.
    :param grace_s: time from the stop signal until the process is killed.
    """

    revoke_ms: int = 5_000
    config_apply_ms: int = 3_000
    drain_ms: int = 3_000
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    limit_overshoot_ratio: float = 0.0
    limit_slack: float = 0.0
    limit_window_s: float = 1.0
    cold_overshoot_ratio: float = 1.0
    cold_slack: float = 0.0
    grace_s: float = 8.0
