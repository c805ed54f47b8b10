"""Answers relayed from a target are whole and belong to the call, or refused.

Guards against a stream or body that is cut short being passed on as whole, and
against the answer of another attempt reaching a caller. Both come about when a
target closes its connection early, announces a wrong length, or sends another
answer on the same connection.
"""

import unittest

from lagoonbend.attempts import refusals
from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Target
from lagoonbend_entry._internal.network.targets import target_client
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.serving import event_stream
from lagoonbend_entry._internal.serving import step_executor
from tests.lib.calls import build_call
from tests.lib.scripted_target import ScriptedTarget
from tests.lib.scripted_target import write_answer
from tests.lib.scripted_target import write_chunked

EVENT = b'data: {"token": 1}\n\n'
END_MARKER = b'data: [DONE]\n\n'
BODY_LIMIT_BYTES = 10_000

TRUNCATED_STREAMS = {
    'no end marker': write_chunked(EVENT, EVENT),
    'no last chunk': write_chunked(EVENT, whole=False),
    'cut in an event': write_chunked(EVENT, EVENT[:7], whole=False),
    'length not reached': write_answer(EVENT, length=500),
    'nothing at all': write_chunked(),
    'marker not ended': write_chunked(EVENT, END_MARKER[:-1]),
}

TRUNCATED_BODIES = {
    'length not reached': write_answer(b'half', length=8),
    'no last chunk': write_chunked(b'half', whole=False),
    'end told by closing': (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf'
    ),
}


class StreamTest(unittest.TestCase):
    """Relays event streams from a target that sends prepared bytes."""

    def test_whole_stream_is_relayed_unchanged(self) -> None:
        """All events up to and with the end marker are relayed."""
        relayed, broken = self._relay(write_chunked(EVENT, EVENT, END_MARKER))
        self.assertEqual(EVENT + EVENT + END_MARKER, relayed)
        self.assertFalse(broken)

    def test_events_split_over_chunks_are_whole(self) -> None:
        """Chunk boundaries need not coincide with event boundaries."""
        stream = EVENT + EVENT + END_MARKER
        pieces = [stream[i : i + 3] for i in range(0, len(stream), 3)]
        relayed, broken = self._relay(write_chunked(*pieces))
        self.assertEqual(stream, relayed)
        self.assertFalse(broken)

    def test_nothing_is_relayed_after_the_marker(self) -> None:
        """Events that follow the end marker are discarded."""
        relayed, _ = self._relay(
            write_chunked(EVENT, END_MARKER, b'data: x\n\n')
        )
        self.assertEqual(EVENT + END_MARKER, relayed)

    def test_cut_stream_is_never_passed_off_as_whole(self) -> None:
        """Each kind of cut ends in an error event and a broken stream."""
        for name, script in TRUNCATED_STREAMS.items():
            with self.subTest(cut=name):
                relayed, broken = self._relay(script)
                self.assertTrue(broken)
                self.assertNotIn(END_MARKER, relayed)
                self.assertIn(b'event: error', relayed)
                self.assertIn(b'"verdict":"may_have_run"', relayed)

    def test_naive_relay_passes_a_cut_stream_off_as_whole(self) -> None:
        """Shows the failure: without the check a cut stream looks whole."""
        response = self._send_call(TRUNCATED_STREAMS['no end marker'])
        lines = b''.join(response.read_lines())
        self.assertEqual(EVENT + EVENT, lines)

    def _relay(self, script: bytes) -> tuple[bytes, bool]:
        response = self._send_call(script)
        events = event_stream.split_events(response.read_lines())
        refusal = refusals.refuse_incomplete().refusal
        relayed = b''
        try:
            for event in event_stream.relay_until_end(events, refusal):
                relayed += event
        except event_stream.IncompleteStreamError:
            return relayed, True
        return relayed, False

    def _send_call(self, script: bytes) -> target_response.TargetResponse:
        return send_call(self, script)


class BodyTest(unittest.TestCase):
    """Reads bodies from a target that sends prepared bytes."""

    def test_whole_body_is_read(self) -> None:
        """Bodies with Content-Length and chunked bodies are read."""
        for script in (write_answer(b'whole'), write_chunked(b'who', b'le')):
            body = send_call(self, script).read_whole(BODY_LIMIT_BYTES)
            self.assertEqual(b'whole', body)

    def test_cut_body_is_an_error(self) -> None:
        """A body whose end is missing or can't be determined is an error."""
        for name, script in TRUNCATED_BODIES.items():
            with self.subTest(cut=name), self.assertRaises(DispatchError):
                send_call(self, script).read_whole(BODY_LIMIT_BYTES)

    def test_answer_of_another_attempt_is_discarded(self) -> None:
        """An answer that names another dispatch is an error."""
        script = write_answer(
            b'theirs', headers=b'Lagoonbend-Attempt: attempt-7.1\r\n'
        )
        response = send_call(self, script)
        with self.assertRaises(DispatchError):
            step_executor.check_attempt_matches(response, 'attempt-1.1')

    def test_second_answer_on_a_connection_is_an_error(self) -> None:
        """Surplus bytes on a connection make the first answer an error."""
        script = write_answer(b'mine') + write_answer(b'theirs')
        with self.assertRaises(DispatchError):
            send_call(self, script).read_whole(BODY_LIMIT_BYTES)


def send_call(
    test: unittest.TestCase, script: bytes
) -> target_response.TargetResponse:
    """Send a call to a target that sends ``script``; return the response.

    The head of the response has been read, its body has not.
    """
    scripted = ScriptedTarget([script])
    test.addCleanup(scripted.close)
    target = Target('engine', 'engine', '127.0.0.1', scripted.port, 'north')
    connection = target_client.TargetConnection(
        target, connect_timeout_ms=500, silence_timeout_ms=500
    )
    return connection.send(build_call(), 'attempt-1.1', head_timeout_ms=500)
