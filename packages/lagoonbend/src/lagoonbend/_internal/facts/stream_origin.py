"""The software version that began a stream."""

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """Which version began the stream that an attempt of a caller brought.

    :param key: hash of customer, service and attempt.
    :param version: version of the target that began it.
    :param expires_ms: time after which the stream can't be taken up again.
    """

    key: int
    version: str
    expires_ms: int
