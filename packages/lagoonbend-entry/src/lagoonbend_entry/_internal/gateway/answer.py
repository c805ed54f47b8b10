"""An answer of a target, as far as it has arrived."""

import collections


class Answer:
    """Status, headers and the body bytes that have not been taken yet.

    :param status: HTTP status code; 0 until the head is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[str, str]] = []
        self.header_map: dict[str, str] = {}
        self.chunks: collections.deque[bytes] = collections.deque()
        self.is_head_complete = False
        self.is_complete = False
        self.ends_with_connection = False
        self.keeps_connection = False

    @property
    def is_interim(self) -> bool:
        """True for an answer that only precedes the final one."""
        return 100 <= self.status < 200
