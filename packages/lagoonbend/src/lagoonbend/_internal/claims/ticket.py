"""Tickets: idempotency keys that name the instance that issued them."""

from typing import NamedTuple

from lagoonbend._internal.exceptions import TicketError

TICKET_PREFIX = 'lb1'
TICKET_SEPARATOR = '~'
TICKET_FIELDS = 6


class Ticket(NamedTuple):
    """A key issued by an instance, called its home.

    :param home: name of the instance that issued it.
    :param incarnation: process start of that instance that issued it.
    :param issued_ms: when it was issued, on the clock of the home instance.
    :param nonce: makes the ticket unique.
    :param tag: authentication code over the customer and all other fields.
    """

    home: str
    incarnation: str
    issued_ms: int
    nonce: str
    tag: str

    def to_text(self) -> str:
        """Return the ticket in the form that callers send."""
        return TICKET_SEPARATOR.join(
            (
                TICKET_PREFIX,
                self.home,
                self.incarnation,
                str(self.issued_ms),
                self.nonce,
                self.tag,
            )
        )


def is_ticket(key: str) -> bool:
    """Return True if ``key`` has the form of a ticket."""
    return key.startswith(TICKET_PREFIX + TICKET_SEPARATOR)


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket without checking its tag.

    :raises TicketError: if the text is malformed.
    """
    fields = text.split(TICKET_SEPARATOR)
    if len(fields) != TICKET_FIELDS or not fields[3].isdecimal():
        raise TicketError(
            'malformed ticket',
            hint='send a ticket exactly as it was issued',
        )
    return Ticket(fields[1], fields[2], int(fields[3]), fields[4], fields[5])
