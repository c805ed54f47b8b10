"""A response on a connection that carries one."""

from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

FIRST_FINAL_STATUS = 200


class SingleResponse(HTTPSocketResponse):
    """Refuses bytes of a second response.

    The library appends the body of a second response to that of the first,
    so that a caller could receive another's answer.
    """

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= FIRST_FINAL_STATUS:
            raise HTTPParseError('a second response on the connection')
        super()._on_message_begin()
