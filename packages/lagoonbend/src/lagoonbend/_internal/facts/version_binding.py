"""The software version to which a stream is bound."""

from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget


class VersionBinding(NamedTuple):
    """Restricts a stream that has begun to targets of one version.

    :param version: version that began it; None if it isn't known, which no
        target can continue.
    """

    version: str | None

    def allows(self, target: ListedTarget) -> bool:
        """Return True if a target may continue the stream."""
        return (
            self.version is not None
            and target.software_version == self.version
        )
