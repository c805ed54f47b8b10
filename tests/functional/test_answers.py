"""Whole answers, and one's own, or none."""

import unittest

from lagoonbend.attempts import refusals
from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Target
from lagoonbend_entry._internal.network.targets import target_client
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.serving import event_stream
from lagoonbend_entry._internal.serving import step_driver
from tests.lib.calls import build_call
from tests.lib.scripted_target import ScriptedTarget
from tests.lib.scripted_target import write_answer
from tests.lib.scripted_target import write_chunked

EVENT = b'data: {"token": 1}\n\n'
END = b'data: [DONE]\n\n'
LIMIT_BYTES = 10_000

CUT_STREAMS = {
    'no end marker': write_chunked(EVENT, EVENT),
    'no last chunk': write_chunked(EVENT, whole=False),
    'cut in an event': write_chunked(EVENT, EVENT[:7], whole=False),
    'length not reached': write_answer(EVENT, length=500),
    'nothing at all': write_chunked(),
    'marker not ended': write_chunked(EVENT, END[:-1]),
}

CUT_BODIES = {
    'length not reached': write_answer(b'half', length=8),
    'no last chunk': write_chunked(b'half', whole=False),
    'end told by closing': (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf'
    ),
}


class StreamTest(unittest.TestCase):
    """Streams relayed from a scripted target."""

    def test_whole_stream_is_relayed_unchanged(self) -> None:
        """All events come, up to the marker."""
        relayed, broken = self._relay(write_chunked(EVENT, EVENT, END))
        self.assertEqual(EVENT + EVENT + END, relayed)
        self.assertFalse(broken)

    def test_events_split_over_chunks_are_whole(self) -> None:
        """The borders of chunks are not those of events."""
        stream = EVENT + EVENT + END
        pieces = [stream[i : i + 3] for i in range(0, len(stream), 3)]
        relayed, broken = self._relay(write_chunked(*pieces))
        self.assertEqual(stream, relayed)
        self.assertFalse(broken)

    def test_nothing_is_relayed_after_the_marker(self) -> None:
        """Bytes behind the end belong to nobody."""
        relayed, _ = self._relay(write_chunked(EVENT, END, b'data: x\n\n'))
        self.assertEqual(EVENT + END, relayed)

    def test_cut_stream_is_never_passed_off_as_whole(self) -> None:
        """Each kind of cut ends in an error event and a broken link."""
        for name, script in CUT_STREAMS.items():
            with self.subTest(cut=name):
                relayed, broken = self._relay(script)
                self.assertTrue(broken)
                self.assertNotIn(END, relayed)
                self.assertIn(b'event: error', relayed)
                self.assertIn(b'"verdict":"may_have_run"', relayed)

    def test_naive_relay_passes_a_cut_stream_off_as_whole(self) -> None:
        """Without the check of the marker, a cut goes unnoticed."""
        response = self._begin(CUT_STREAMS['no end marker'])
        lines = b''.join(response.read_lines())
        self.assertEqual(EVENT + EVENT, lines)

    def _relay(self, script: bytes) -> tuple[bytes, bool]:
        response = self._begin(script)
        events = event_stream.split_events(response.read_lines())
        refusal = refusals.refuse_incomplete().refusal
        relayed = b''
        try:
            for event in event_stream.relay_until_end(events, refusal):
                relayed += event
        except event_stream.IncompleteStreamError:
            return relayed, True
        return relayed, False

    def _begin(self, script: bytes) -> target_response.TargetResponse:
        return begin(self, script)


class BodyTest(unittest.TestCase):
    """Bodies read from a scripted target."""

    def test_whole_body_is_read(self) -> None:
        """Both ways to tell the end of a body work."""
        for script in (write_answer(b'whole'), write_chunked(b'who', b'le')):
            body = begin(self, script).read_whole(LIMIT_BYTES)
            self.assertEqual(b'whole', body)

    def test_cut_body_is_an_error(self) -> None:
        """A body whose end can't be told is no answer."""
        for name, script in CUT_BODIES.items():
            with self.subTest(cut=name), self.assertRaises(DispatchError):
                begin(self, script).read_whole(LIMIT_BYTES)

    def test_answer_of_another_attempt_is_discarded(self) -> None:
        """An answer that names another dispatch reaches nobody."""
        script = write_answer(
            b'theirs', headers=b'Lagoonbend-Attempt: attempt-7.1\r\n'
        )
        response = begin(self, script)
        with self.assertRaises(DispatchError):
            step_driver.check_attempt_matches(response, 'attempt-1.1')

    def test_second_answer_on_a_connection_is_an_error(self) -> None:
        """Bytes of another answer reach nobody, and no answer is trusted."""
        script = write_answer(b'mine') + write_answer(b'theirs')
        with self.assertRaises(DispatchError):
            begin(self, script).read_whole(LIMIT_BYTES)


def begin(
    test: unittest.TestCase, script: bytes
) -> target_response.TargetResponse:
    """Send a call to a target with this script; return the begun answer."""
    scripted = ScriptedTarget([script])
    test.addCleanup(scripted.close)
    target = Target('engine', 'engine', '127.0.0.1', scripted.port, 'north')
    connection = target_client.TargetConnection(
        target, connect_timeout_ms=500, silence_timeout_ms=500
    )
    return connection.send(build_call(), 'attempt-1.1', head_timeout_ms=500)
