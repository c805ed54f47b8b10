"""What a caller of the demonstration received."""

from typing import NamedTuple


class Receipt(NamedTuple):
    """One answer, with what the demonstration promised of it.

    :param what: what was sent, and through which instance.
    :param status: HTTP status code; 0 if no whole answer came.
    :param verdict: verdict of the instance.
    :param text: start of the answer.
    :param kept: True if the answer is as promised.
    """

    what: str
    status: int
    verdict: str
    text: str
    kept: bool
