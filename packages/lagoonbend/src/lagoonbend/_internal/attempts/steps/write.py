"""Step: write the request once and wait for the head of the answer."""

from typing import NamedTuple


class Write(NamedTuple):
    """Write the request once and wait for the head of the answer.

    Result: a response. Raises DispatchError with verdict may have run.

    :param connection: what Connect gave.
    :param dispatch: identity of the dispatch.
    """

    connection: object
    dispatch: str
