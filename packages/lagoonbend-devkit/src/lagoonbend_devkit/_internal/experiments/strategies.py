"""Strategies to dispatch at most once, as a baseline for comparison.

Each one leaves out a rule of the real classes.
"""

from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import Ownership
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes


class LocalDirectory(HolderDirectory):
    """Treats each instance as the holder of every key that it receives."""

    def find(self, key: str) -> str | None:
        """Return None: this instance holds the key."""
        return None


class LocalOwnership(KeyOwnership):
    """Treats each instance as the owner of every bare key."""

    def check_ownership(self, key: str) -> Ownership:
        """Accept any key."""
        return Ownership.OWNED


class OwnershipWithoutQuarantine(KeyOwnership):
    """Accepts keys that it owns right after a start, without quarantine."""

    @property
    def quarantined_until_ms(self) -> int:
        """Return 0: the quarantine is always over."""
        return 0


LOCAL_MEMORY = ComponentTypes(
    holder_directory=LocalDirectory, ownership=LocalOwnership
)
NO_QUARANTINE = ComponentTypes(ownership=OwnershipWithoutQuarantine)
