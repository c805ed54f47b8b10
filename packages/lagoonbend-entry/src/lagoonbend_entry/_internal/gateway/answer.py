"""An answer of a target, as far as it has been received."""

import collections

SUCCESS_STATUS = 200
SUCCESS_STATUS_END = 300


class Answer:
    """Status, headers and the body chunks that have not been read yet.

    ``status`` is the HTTP status code, 0 until the head is complete;
    ``header_map`` has the first value of each header by lower-case name.
    ``ends_at_close`` is True if only the end of the connection marks the end
    of the body.
    """

    def __init__(self) -> None:
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[str, str]] = []
        self.header_map: dict[str, str] = {}
        self.chunks: collections.deque[bytes] = collections.deque()
        self.is_head_complete = False
        self.is_complete = False
        self.ends_at_close = False
        self.keeps_connection = False

    @property
    def is_success(self) -> bool:
        """True for a 2xx answer."""
        return SUCCESS_STATUS <= self.status < SUCCESS_STATUS_END

    @property
    def is_interim(self) -> bool:
        """True for a 1xx answer, which precedes the final one."""
        return 100 <= self.status < 200
