"""Names on the wire of the users' platform."""

HEADER_ATTEMPT = 'attempt-id'
HEADER_AUTHORIZATION = 'authorization'
HEADER_CUSTOMER = 'tenant'
HEADER_DEADLINE = 'deadline-ms'
HEADER_TARGET = 'expect-instance'
"""Names a target, not one of our instances: its registration's identity."""
HEADER_LAST_EVENT = 'last-event-id'
HEADER_LENGTH_HINT = 'length-hint'
HEADER_MODEL_VERSION = 'expect-version'
HEADER_PROMPT = 'prefix-hash'
"""Not a hash: the parts of the whole prompt with their lengths."""
HEADER_TOKENS = 'token-usage'
"""Not usage: tokens of the prompt and the greatest length of the answer."""
HEADER_NOT_RUN = 'not-executed'
HEADER_STAMP = 'server-stamp'

SET_BY_INSTANCES = frozenset(
    (
        HEADER_CUSTOMER,
        HEADER_DEADLINE,
        HEADER_TARGET,
        HEADER_AUTHORIZATION,
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-from',
        'kv-fetch',
    )
)
"""Headers that a caller may send and a target must not get from it."""

KEY_SCHEME = 'bearer '
RULES_KEY = 'op/config'
TARGETS_PREFIX = 'servers/'
READINESS_PATH = b'/lagoonbend/readyz'
RANGE_CALL = '/lagoonbend/kv-range'
WATCH_CALL = '/lagoonbend/kv-watch'

TARGET_STATES = ('ready', 'draining')
ROUTE_KINDS = ('safe', 'unsafe', 'streaming')
TOKEN_UNIT = 'token_count'
