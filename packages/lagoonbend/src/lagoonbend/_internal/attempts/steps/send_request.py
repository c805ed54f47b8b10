"""Step: send the request once and wait for the head of the answer."""

from typing import NamedTuple


class SendRequest(NamedTuple):
    """Send the request once and wait for the head of the answer.

    Result: a response. Raises DispatchError with verdict may have run.

    :param connection: the result of Connect.
    :param dispatch_id: identifier of the dispatch.
    """

    connection: object
    dispatch_id: str
