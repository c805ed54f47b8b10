"""Position of a caller in an event stream."""

from lagoonbend_entry._internal.gateway.event_identity import find_event_id
from lagoonbend_entry._internal.utils import bounded


class StreamPosition:
    """Identity of the last event that was sent to the caller.

    After a failure another target continues the stream. An event that
    doesn't follow the last one must not be relayed.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None

    def is_next(self, event: bytes) -> bool:
        """Return True if an event follows the last one.

        Identities that aren't numbers have no order: any but the last one is
        accepted.
        """
        event_id = find_event_id(event)
        if event_id is None or self.last_id is None:
            return True
        if not (_is_number(event_id) and _is_number(self.last_id)):
            return event_id != self.last_id
        return int(event_id) == int(self.last_id) + 1

    def is_repeated(self, event: bytes) -> bool:
        """Return True if the caller has received the event already."""
        event_id = find_event_id(event)
        if event_id is None or self.last_id is None:
            return False
        if not (_is_number(event_id) and _is_number(self.last_id)):
            return event_id == self.last_id
        return int(event_id) <= int(self.last_id)

    def record_sent(self, event: bytes) -> None:
        """Record that an event was sent to the caller."""
        self.last_id = find_event_id(event) or self.last_id


def _is_number(identity: str) -> bool:
    return identity.isdecimal() and len(identity) <= bounded.MAX_DIGITS
