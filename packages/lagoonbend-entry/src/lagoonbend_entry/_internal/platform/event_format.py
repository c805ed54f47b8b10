"""Reads the identity of an event of a stream."""

ID_FIELD = b'id:'


def find_event_id(block: bytes) -> str | None:
    """Return the identity that a whole event carries, if any.

    :param block: lines of one event with the blank line at its end.
    """
    for line in block.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].decode('latin-1').strip()
    return None
