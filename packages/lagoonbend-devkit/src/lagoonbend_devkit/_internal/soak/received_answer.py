"""An answer as its caller received it."""


class ReceivedAnswer:
    """An answer that may still be incomplete.

    ``status`` is 0 until its head is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False
        self.keeps_connection = True
