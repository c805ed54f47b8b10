"""A request that a caller is going to send."""

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """A request of a caller.

    :param route: name of the route.
    :param attempt: identifier of the attempt.
    :param fault: fault that the target shall inject; empty for none.
    :param hangs_up: True to end the connection after the first event of a
        stream.
    :param resumes: attempt that began the stream that this one takes up;
        empty for a new request.
    :param last_event: number of the last event that was received of it.
    :param blocks: blocks of its prompt before its own; none for no prompt.
    :param item: end of its path, after the route.
    :param body: its body; empty for one that names the attempt.
    """

    route: str
    attempt: str
    fault: str = ''
    hangs_up: bool = False
    resumes: str = ''
    last_event: int = 0
    blocks: tuple[str, ...] = ()
    item: str = 'x'
    body: bytes = b''
