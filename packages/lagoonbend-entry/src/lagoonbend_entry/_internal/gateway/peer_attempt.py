"""One attempt to let a peer run a call."""

from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.target_connection import encode_request
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.answer_headers import AnswerHeaders


class PeerAttempt(Attempt):
    """Hands a call over to a peer, and relays its answer.

    The peer stands in place of a target. It admits the call itself, counts it
    against limits and retries it, as if the caller had sent it there.

    ``software_version`` is the version at which the peer has begun a stream;
    None if it hasn't said so.
    """

    software_version: str | None = None

    def _encode_request(self) -> bytes:
        call = self._call
        request = call.request
        headers = call_headers.encode_handover_headers(
            request.headers,
            request.list_connection_headers(),
            deadline_ms=self._left_ms(),
            continued_attempt=(
                call.headers.continued_attempt or call.headers.attempt
            ),
            last_event=self._position.last_id,
        )
        return encode_request(
            request.method, request.path, headers, request.body
        )

    def _check_fits(self, answer: Answer) -> None:
        """Leave that to the sender of the call, which may ask another peer."""

    def _decode_headers(self, answer: Answer) -> AnswerHeaders:
        """Return the values of a head; what it says concerns no target."""
        self.software_version = handover_mark.find_software(answer.header_map)
        answer.headers = handover_mark.remove_software(answer.headers)
        return answer_headers.decode_answer_headers(
            answer.status, answer.header_map
        )
