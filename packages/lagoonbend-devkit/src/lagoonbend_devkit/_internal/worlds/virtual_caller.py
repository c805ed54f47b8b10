"""A simulated caller with one non-idempotent request."""

from lagoonbend.models import Verdict


class VirtualCaller:
    """Sends one request, and repeats it with the same key.

    ``sends`` counts how often it was sent, ``executions`` how often the
    target executed it.

    :param key: ticket or bare key.
    :param is_ticket: True if the key is a ticket.
    :param first_sent_ms: when it was first sent, on the clock of the
        simulation.
    """

    def __init__(self, key: str, is_ticket: bool, first_sent_ms: int) -> None:
        self.key = key
        self.is_ticket = is_ticket
        self.first_sent_ms = first_sent_ms
        self.sends = 0
        self.executions = 0
        self.verdicts: list[Verdict] = []
