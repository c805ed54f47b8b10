"""Step: close a connection on which nothing was written."""

from typing import NamedTuple


class CloseConnection(NamedTuple):
    """Close a connection on which nothing was written.

    No result and no error.

    :param connection: the result of Connect.
    """

    connection: object
