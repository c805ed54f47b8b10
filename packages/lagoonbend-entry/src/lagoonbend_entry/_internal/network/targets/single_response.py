"""HTTP response on a connection that is used for one request."""

from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

FIRST_FINAL_STATUS = 200


class SingleResponse(HTTPSocketResponse):
    """Response that rejects a second response on its connection.

    The library appends the body of a second response to that of the first,
    so that a caller could receive the answer to another caller's request.
    """

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= FIRST_FINAL_STATUS:
            raise HTTPParseError(
                'unexpected second response on the connection'
            )
        super()._on_message_begin()
