"""Reasons for which an instance refuses a request."""

import enum

from lagoonbend_entry._internal.models import promises


class RefusalReason(enum.Enum):
    """Reasons for a refusal, with label and HTTP status.

    Status 503 and 429 guarantee that the call has not run and will not run;
    502 and 504 leave open whether it ran.
    """

    NOT_CONFIGURED = ('not_configured', 503)
    FACTS_TOO_OLD = ('facts_too_old', 503)
    NO_ROUTE = ('no_route', 404)
    NO_CUSTOMER = ('no_customer', 401)
    OVER_LIMIT = ('over_limit', 429)
    OVERLOADED = ('overloaded', 503)
    NO_TIME_LEFT = ('no_time_left', 503)
    NO_TARGET = ('no_target', 503)
    TARGETS_PAUSED = ('targets_paused', 503)
    PROMPT_BLOCKED = ('prompt_blocked', 503)
    REQUEST_BLOCKED = ('request_blocked', 503)
    UNKNOWN_ORIGIN = ('unknown_origin', 503)
    STOPPING = ('stopping', 503)
    NOT_SENT = ('not_sent', 503)
    MAY_HAVE_RUN = ('may_have_run', 502)
    TIME_UP = ('time_up', 504)
    INTERNAL = ('internal', 500)

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status

    @property
    def promises_not_run(self) -> bool:
        """True if callers may send a call again that must not run twice."""
        return promises.promises_not_run(self.status)

    @property
    def concerns_instance(self) -> bool:
        """True if another instance may serve the call, which has not run."""
        return self in (
            RefusalReason.NOT_CONFIGURED,
            RefusalReason.FACTS_TOO_OLD,
            RefusalReason.STOPPING,
            RefusalReason.NOT_SENT,
        )
