"""How far a stream has gone to the caller."""

from lagoonbend_entry._internal.platform.event_format import find_event_id


class StreamPosition:
    """The last event of a stream that went to the caller.

    Runs at several targets may continue each other; an event that is out of
    line must not be passed on.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None

    def is_next(self, block: bytes) -> bool:
        """Return True if an event follows the last one.

        Identities that aren't numbers can't be checked and pass.
        """
        event_id = find_event_id(block)
        if event_id is None or self.last_id is None:
            return True
        if not (event_id.isdecimal() and self.last_id.isdecimal()):
            return event_id != self.last_id
        return int(event_id) == int(self.last_id) + 1

    def is_repeated(self, block: bytes) -> bool:
        """Return True if the caller has the event already."""
        event_id = find_event_id(block)
        if event_id is None or self.last_id is None:
            return False
        if not (event_id.isdecimal() and self.last_id.isdecimal()):
            return event_id == self.last_id
        return int(event_id) <= int(self.last_id)

    def note(self, block: bytes) -> None:
        """Note that an event went to the caller."""
        self.last_id = find_event_id(block) or self.last_id
