"""Ways to dispatch at most once, weighed against each other."""

from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import Ownership
from lagoonbend_devkit._internal.worlds.component_types import ComponentTypes


class LocalDirectory(HolderDirectory):
    """Takes each instance's own memory for the whole truth."""

    def find(self, key: str) -> str | None:
        """Return this instance."""
        return None


class LocalOwnership(KeyOwnership):
    """Owns every key."""

    def check_ownership(self, key: str) -> Ownership:
        """Accept the key."""
        return Ownership.OWNED


class OwnershipWithoutQuarantine(KeyOwnership):
    """Accepts its keys without a quarantine after a start."""

    @property
    def quarantined_until_ms(self) -> int:
        """No quarantine."""
        return 0


LOCAL_MEMORY = ComponentTypes(
    holder_directory=LocalDirectory, ownership=LocalOwnership
)
NO_QUARANTINE = ComponentTypes(ownership=OwnershipWithoutQuarantine)
