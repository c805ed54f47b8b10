"""One attempt to let a peer run a call."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

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

    :param arguments: those of an attempt.
    :param on_leaving: called with the headers of an answer whose target says
        that it leaves.
    :param bound_version: version of the only targets that may get the call;
        None for any.
    """

    def __init__(
        self,
        *arguments: Any,
        on_leaving: Callable[[Mapping[str, str]], None],
        bound_version: str | None = None,
    ) -> None:
        super().__init__(*arguments)
        self.software_version: str | None = None
        self._on_leaving = on_leaving
        self._bound_version = bound_version

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
        headers = handover_mark.mark_rules_version(headers, call.version)
        headers = handover_mark.mark_bound_version(
            headers, self._bound_version
        )
        return encode_request(
            request.method, request.path, headers, request.body
        )

    def _check_fits(self, answer: Answer) -> None:
        """Leave that to the sender of the call, which may ask another peer."""

    def _decode_headers(self, answer: Answer) -> AnswerHeaders:
        """Return the values of a head; record that a target leaves.

        What else it says is for the peer, which has sent the request.
        """
        self.software_version = handover_mark.find_software(answer.header_map)
        answer.headers = handover_mark.remove_marks(answer.headers)
        answer_facts = answer_headers.decode_answer_headers(
            answer.status, answer.header_map
        )
        if answer_facts.is_leaving:
            self._on_leaving(answer.header_map)
        return answer_facts
