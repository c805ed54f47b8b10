"""What published items are sent over."""

from typing import Protocol

from lagoonbend_entry._internal.coordination import messages


class ItemsChannel(Protocol):
    """A connection to a peer, such as a ``MessageChannel``."""

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent."""

    def send(self, message: messages.Message) -> None:
        """Queue a message."""

    def wait_until_sent(self, timeout_ms: int) -> None:
        """Wait until all that was queued has been sent."""
