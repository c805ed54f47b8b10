"""Ages of the facts at which an instance acts."""

from typing import NamedTuple

from lagoonbend_entry._internal.settings.bounds_settings import BoundsSettings

READ_SHARE = 0.4
"""Share of the bound on changes that is left to read the store."""
CHECK_MARGIN_MS = 100
"""Time by which a heartbeat with a proof may be late."""
MIN_WATCH_WAIT_MS = 300
MAX_WATCH_WAIT_MS = 1_800
"""Range of the time for which the store holds a watch open. Its answer
confirms that the facts are current; each watch is a call to the store."""
MAX_REJECTION_MS = 3_000
"""Age from which an unknown route or key gets a 503 in place of a final
rejection, unless the bound on changes is tighter."""


class FactAges(NamedTuple):
    """Ages that follow from the bounds of the deployment.

    :param max_peer_ms: age at which an instance that isn't a store reader
        reads the store itself.
    :param max_rejection_ms: age from which no request is rejected for good.
    """

    max_peer_ms: int
    max_rejection_ms: int

    @classmethod
    def from_config(cls, bounds: BoundsSettings) -> 'FactAges':
        """Return the ages for the bounds on changes."""
        change_ms = min(bounds.config_apply_ms, bounds.drain_ms)
        return cls(
            int(change_ms * (1 - READ_SHARE)),
            min(MAX_REJECTION_MS, bounds.config_apply_ms),
        )

    def is_current(self, age_ms: int | None) -> bool:
        """Return True if the facts are new enough for a final rejection."""
        return age_ms is not None and age_ms < self.max_rejection_ms

    def get_watch_wait_ms(self, heartbeat_ms: int) -> int:
        """Return for how long a store reader's watch waits for changes.

        The other instances learn of the proof in time for them not to read
        the store.

        :param heartbeat_ms: interval of heartbeats between instances.
        """
        wait_ms = self.max_peer_ms - heartbeat_ms - CHECK_MARGIN_MS
        return max(MIN_WATCH_WAIT_MS, min(MAX_WATCH_WAIT_MS, wait_ms))


DEFAULT_AGES = FactAges.from_config(BoundsSettings())
