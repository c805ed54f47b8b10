"""The software version that began a stream."""

from typing import NamedTuple

from lagoonbend._internal.facts.origin_source import OriginSource


class StreamOrigin(NamedTuple):
    """Which version began the stream that an attempt of a caller brought.

    :param key: hash of customer, service and attempt.
    :param version: version of the target that began it.
    :param expires_ms: time after which the stream can't be taken up again.
    :param source: how it is known.
    :param is_disputed: True if the same source has named another version.
    """

    key: int
    version: str
    expires_ms: int
    source: OriginSource = OriginSource.INFERRED
    is_disputed: bool = False

    def merge(self, other: 'StreamOrigin') -> 'StreamOrigin':
        """Return what is known of the stream from two origins.

        That of the stronger source counts. Neither does if two of the same
        source differ.
        """
        stronger = max(self, other, key=lambda origin: origin.source)
        is_disputed = stronger.is_disputed
        if self.source is other.source:
            is_disputed = (
                self.is_disputed
                or other.is_disputed
                or self.version != other.version
            )
        return stronger._replace(
            expires_ms=max(self.expires_ms, other.expires_ms),
            is_disputed=is_disputed,
        )
