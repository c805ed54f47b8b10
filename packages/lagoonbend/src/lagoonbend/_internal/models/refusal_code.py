"""Stable codes of refusals."""

import enum


class RefusalCode(enum.Enum):
    """Why a request was refused; callers may rely on the values."""

    UNAUTHENTICATED = 'unauthenticated'
    MALFORMED = 'malformed'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TOO_SLOW = 'body_too_slow'
    NO_RULE = 'no_rule'
    NOT_CONFIGURED = 'not_configured'
    KEY_REQUIRED = 'key_required'
    KEY_REUSED = 'key_reused'
    KEY_IN_PROGRESS = 'key_in_progress'
    KEY_UNKNOWN = 'key_unknown'
    KEY_OWNER_UNREACHABLE = 'key_owner_unreachable'
    KEY_EXPIRED = 'key_expired'
    KEY_FINISHED = 'key_finished'
    DISPLACED = 'displaced'
    QUEUE_FULL = 'queue_full'
    CUSTOMER_LIMIT = 'customer_limit'
    DEADLINE_PASSED = 'deadline_passed'
    NO_TIME_LEFT = 'no_time_left'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    INCOMPLETE_ANSWER = 'incomplete_answer'
