"""Names that the users' platform uses on the wire."""

from lagoonbend_entry._internal.models import handover_mark

HEADER_ATTEMPT = 'attempt-id'
HEADER_AUTHORIZATION = 'authorization'
HEADER_CUSTOMER = 'tenant'
HEADER_DEADLINE = 'deadline-ms'
HEADER_TARGET = 'expect-instance'
"""The value is the identity of a target's registration. Unlike elsewhere in
this code, "instance" means a target here."""
HEADER_LAST_EVENT = 'last-event-id'
HEADER_RESUMES = 'resumes'
"""The value is the identity of the attempt that brought the first event of the
stream that the caller continues."""
HEADER_LENGTH_HINT = 'length-hint'
HEADER_MODEL_VERSION = 'expect-version'
HEADER_PROMPT = 'prefix-hash'
"""Despite its name not a hash: the blocks of the whole prompt with their
lengths in tokens."""
HEADER_TOKENS = 'token-usage'
"""Despite its name not a usage: the tokens of the prompt and the maximum
length of the answer."""
HEADER_NOT_RUN = 'not-executed'
HEADER_STAMP = 'server-stamp'
HEADER_LEAVING = 'server-leaving'
HEADER_RETRY_AFTER = 'retry-after'
HEADER_REQUEST_LIMIT = 'server-limit'
HEADER_REJECTION_LIMIT = 'server-brittle'
"""The value is the number of rejections a second beyond which a target falls
over."""
HEADER_LOAD = 'server-load'
HEADER_STORE_ERA = 'store-era'

HEADERS_SET_BY_INSTANCES = frozenset(
    (
        HEADER_CUSTOMER,
        HEADER_DEADLINE,
        HEADER_TARGET,
        HEADER_AUTHORIZATION,
        handover_mark.HEADER_HANDED_OVER,
        handover_mark.HEADER_RULES_VERSION,
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-from',
        'kv-fetch',
    )
)
"""Headers of a caller that must not be forwarded to a target."""

AUTHORIZATION_SCHEME = 'bearer '
RULES_KEY = 'op/config'
EVACUATIONS_PREFIX = 'op/evacuate/'
TARGETS_PREFIX = 'servers/'
READINESS_PATH = b'/lagoonbend/readyz'
RANGE_PATH = '/lagoonbend/kv-range'
WATCH_PATH = '/lagoonbend/kv-watch'
KEPT_BLOCKS_PATH = '/lagoonbend/kv-list'
"""Unlike the two paths before, one of targets: lists the blocks of prompts
that an engine keeps in its memory."""

TARGET_STATES = ('ready', 'draining')
ROUTE_KINDS = ('safe', 'unsafe', 'streaming')
TOKEN_UNIT = 'token_count'
