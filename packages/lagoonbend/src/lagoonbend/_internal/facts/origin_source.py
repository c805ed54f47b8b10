"""Sources of the origin of a stream."""

import enum


class OriginSource(enum.IntEnum):
    """How the origin of a stream is known, the weakest source first.

    ``INFERRED`` also stands for what instances of earlier builds say, which
    may have sent the call only. ``BEGUN_FOR_PEER`` means that an instance has
    begun the stream for another one, which may not have got it.
    """

    INFERRED = 0
    BEGUN_FOR_PEER = 1
    BEGUN = 2
