"""Reads the identity of an event in an event stream."""

ID_FIELD = b'id:'


def find_event_id(event: bytes) -> str | None:
    """Return the identity in a complete event, or None if it has none.

    :param event: lines of one event, including the blank line that ends it.
    """
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].decode('latin-1').strip()
    return None
