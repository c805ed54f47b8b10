"""Step: write the request once and wait for the head of the answer."""

from typing import NamedTuple


class SendRequest(NamedTuple):
    """Write the request once and wait for the head of the answer.

    Result: a response. Raises DispatchError with verdict may have run.

    :param connection: what Connect gave.
    :param dispatch_id: identity of the dispatch.
    """

    connection: object
    dispatch_id: str
