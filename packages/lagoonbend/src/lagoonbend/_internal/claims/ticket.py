"""Tickets: keys that name their home."""

from typing import NamedTuple

from lagoonbend._internal.exceptions import TicketError

TICKET_PREFIX = 'lb1'
TICKET_SEPARATOR = '~'
TICKET_FIELDS = 6


class Ticket(NamedTuple):
    """A key issued by an instance, its home.

    :param home: name of the instance that issued it.
    :param incarnation: incarnation of that instance.
    :param born_ms: when it was issued, on the home's clock.
    :param nonce: makes the ticket unique.
    :param tag: authentication code over the customer and all other fields.
    """

    home: str
    incarnation: str
    born_ms: int
    nonce: str
    tag: str

    def to_text(self) -> str:
        """Return the ticket in the form that callers carry."""
        return TICKET_SEPARATOR.join(
            (
                TICKET_PREFIX,
                self.home,
                self.incarnation,
                str(self.born_ms),
                self.nonce,
                self.tag,
            )
        )


def is_ticket(key: str) -> bool:
    """Return True if ``key`` has the form of a ticket."""
    return key.startswith(TICKET_PREFIX + TICKET_SEPARATOR)


def parse_ticket(text: str) -> Ticket:
    """Read a ticket; its tag is not checked.

    :raises TicketError: if the text is malformed.
    """
    fields = text.split(TICKET_SEPARATOR)
    if len(fields) != TICKET_FIELDS or not fields[3].isdecimal():
        raise TicketError(
            'malformed ticket',
            hint='send a ticket exactly as it was issued',
        )
    return Ticket(fields[1], fields[2], int(fields[3]), fields[4], fields[5])
