"""Kinds of what calls have in common, and the evidence that each needs."""

from typing import NamedTuple

REQUEST_PREFIX = 'request:'
"""Begin of the carriers that are whole requests. The identity of a block has
no colon."""


class CarrierKind(NamedTuple):
    """How much evidence limits and blocks a carrier.

    Ends of targets count here as ``CrashSuspect`` weighs them.

    :param single_count: ends from which on calls with it are sent one at a
        time.
    :param moment_count: separate moments at which targets must have ended for
        it to be blocked.
    :param repeat_count: ends from which on fewer moments suffice.
    :param repeat_moment_count: moments that suffice then.
    :param sound_ms: time for which an answer that has begun clears it.
    :param counts_sequences: True if an end is a moment of its own when the
        call was sent after the end before.
    """

    single_count: int
    moment_count: int
    repeat_count: int
    repeat_moment_count: int
    sound_ms: int
    counts_sequences: bool


# One end and one moment less than the users' rules allow. Fewer moments would
# block rare prompts beside a target that flaps, and so would a shorter time
# for which an answer clears them.
BLOCK = CarrierKind(4, 4, 4, 2, 30_000, counts_sequences=False)
# The users' rules allow three ends, and three retries later. Copies of a
# request that run at the same time can end all targets of a small service in
# one moment. Answers clear it for longer, as fewer moments block it.
REQUEST = CarrierKind(3, 3, 4, 2, 60_000, counts_sequences=True)


def name_request(fingerprint: str) -> str:
    """Return the carrier of a whole request."""
    return f'{REQUEST_PREFIX}{fingerprint}'


def is_request(carrier: str) -> bool:
    """Return True for a whole request, False for a block."""
    return carrier.startswith(REQUEST_PREFIX)


def describe_carrier(carrier: str) -> dict[str, str]:
    """Return a carrier as fields of a log line; one of them is empty."""
    if is_request(carrier):
        return {
            'block': '',
            'fingerprint': carrier.removeprefix(REQUEST_PREFIX),
        }
    return {'block': carrier, 'fingerprint': ''}


def find_kind(carrier: str) -> CarrierKind:
    """Return the kind of a carrier."""
    return REQUEST if is_request(carrier) else BLOCK
