"""Memory of an instance for the bodies of answers that it buffers."""

from collections.abc import Iterator
import contextlib

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Limit on the body of an answer that is buffered before it is relayed."""
OWN_BODY_BYTES = 524_288
"""Part of each body that is always allowed: 50 bodies at once must fit into
the 128 MB of an instance."""
SHARED_BODY_BYTES = MAX_BODY_BYTES
"""Limit on the sum of what all bodies have beyond their own part: one body of
the largest size."""


class BodyShare:
    """Counts the bytes of one body against the memory for all bodies.

    :param memory: memory for all bodies.
    """

    def __init__(self, memory: 'BodyMemory') -> None:
        self.shared_bytes = 0
        self._memory = memory

    def allows(self, size_bytes: int) -> bool:
        """Return whether the body may have a size; it doesn't shrink."""
        if size_bytes > MAX_BODY_BYTES:
            return False
        added = max(0, size_bytes - OWN_BODY_BYTES) - self.shared_bytes
        if self._memory.used_bytes + added > SHARED_BODY_BYTES:
            return False
        self._memory.used_bytes += added
        self.shared_bytes += added
        return True


class BodyMemory:
    """Sum of what the buffered bodies have beyond their own parts."""

    def __init__(self) -> None:
        self.used_bytes = 0

    @contextlib.contextmanager
    def open_share(self) -> Iterator[BodyShare]:
        """Return the share of one body, which ends with the context."""
        share = BodyShare(self)
        try:
            yield share
        finally:
            self.used_bytes -= share.shared_bytes
