"""Section ``[bounds]``."""

from typing import NamedTuple


class BoundsSettings(NamedTuple):
    """Bounds that the operators of a deployment set.

    :param revoke_ms: time from the publication of a configuration within
        which a key that it lacks must no longer be served.
    :param retry_ratio: repeated sends for each request to a service.
    :param retry_slack: repeated sends on top of them in a window, over all
        instances.
    :param retry_window_s: length of that window.
    :param limit_overshoot_ratio: part of a customer's limit that is
        tolerated beyond it in a window.
    :param limit_slack: units tolerated on top of it.
    :param limit_window_s: length of that window.
    :param grace_s: time from the signal to stop to the kill.
    """

    revoke_ms: int = 5_000
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    limit_overshoot_ratio: float = 0.0
    limit_slack: float = 0.0
    limit_window_s: float = 1.0
    grace_s: float = 8.0
