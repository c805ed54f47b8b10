"""Versions of streams that peers have begun for this instance.

Guards against a stream that goes on at any version, since the peer is of an
earlier build, which doesn't name the one that it chose.
"""

from collections.abc import Iterator
import random
import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import VersionBinding
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway import handover as handover_module
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import call_headers

TARGET = ListedTarget('i;1', 'chat', '10.0.0.1', 80, 'd', 4, False, born_ms=5)
ODD_VERSION = 'v1 \u2192 2%20'


class VersionsNamedByPeersTest(unittest.TestCase):
    """A peer begins a stream and is gone after the first event."""

    def hand_over(
        self,
        headers: dict[str, str],
        closed_targets: ClosedTargets | None = None,
    ) -> CallProgress:
        """Return the call after the first event from a peer.

        :param headers: further headers of the peer's answer.
        :param closed_targets: records targets that leave.
        """
        answer = Answer()
        answer.status = 200
        answer.header_map = {
            'attempt-id': 'a',
            'server-stamp': 'stamp',
            'content-type': 'text/event-stream',
            **headers,
        }
        answer.headers = list(answer.header_map.items())
        pool = mock.Mock()
        connection = pool.acquire.return_value
        connection.received_bytes = 0
        connection.read_head.return_value = answer
        connection.read_body.side_effect = lambda *unused: read_broken()
        self.closed_targets = mock.Mock()
        self.closed_targets.is_closed.return_value = False
        handover = handover_module.Handover(
            mock.Mock(),
            pool,
            self.closed_targets if closed_targets is None else closed_targets,
            PausedClock(1_000),
            mock.Mock(),
            {TARGET.target: TARGET}.get,
        )
        call = mock.MagicMock(expires_at_ms=4_000)
        call.headers = call_headers.decode_call_headers({'attempt-id': 'a'})
        call.request.body = b''
        call.route.may_repeat = False
        call.is_handed_over = False
        reply = mock.Mock(has_begun=False)

        def begin(*arguments: object) -> None:
            reply.has_begun = True

        reply.begin_stream.side_effect = begin
        progress = CallProgress(call, SendRecord())
        report = handover._run_at(
            mock.Mock(callers_endpoint='10.0.1.1:80', address='peer:1'),
            progress,
            reply,
        )
        self.assertIs(AttemptOutcome.BROKEN_STREAM, report.outcome)
        relayed = dict(reply.begin_stream.call_args.args[2])
        for name in handover_mark.ANSWER_MARKS:
            self.assertNotIn(name, relayed)
        return progress

    def test_stream_is_bound_to_the_version_that_the_peer_names(self) -> None:
        """Whatever characters the version has."""
        for version in ('v1', '', ODD_VERSION):
            target = TARGET._replace(software_version=version)
            progress = self.hand_over(mark(target))
            self.assertEqual(VersionBinding(version), progress.binding)

    def test_version_that_is_not_named_is_asked_for(self) -> None:
        """The stream ends if nobody knows it, and takes no other version."""
        progress = self.hand_over({})
        self.assertEqual(VersionBinding(None), progress.binding)
        handler = mock.Mock()
        bind = call_handler.CallHandler._bind_continued_stream
        handler._resumed_streams.find.return_value = None
        refusal = bind(handler, progress)
        assert refusal is not None
        self.assertIs(RefusalReason.UNKNOWN_ORIGIN, refusal.reason)
        handler._resumed_streams.find.return_value = VersionBinding('v2')
        self.assertIsNone(bind(handler, progress))
        self.assertEqual(VersionBinding('v2'), progress.binding)

    def test_target_can_not_name_another_version(self) -> None:
        """Its headers are replaced by what the list says."""
        headers = [
            ('Lagoonbend-Software', 'v9'),
            ('LAGOONBEND-TARGET', 'other;1'),
            ('X-Other', '1'),
        ]
        for version, expected in (('v1', 'v1'), (None, None)):
            target = TARGET._replace(software_version=version)
            marked = handover_mark.mark_answer(headers, target)
            header_map = {name.lower(): value for name, value in marked}
            self.assertEqual(expected, handover_mark.find_software(header_map))
            self.assertEqual(
                (TARGET.target, TARGET.born_ms),
                handover_mark.find_life(header_map),
            )
            self.assertEqual(
                [('X-Other', '1')], handover_mark.remove_marks(marked)
            )

    # Guards against requests to a target that has said that it leaves, in an
    # answer that a peer has passed on.
    def test_target_that_leaves_is_recorded(self) -> None:
        """Not if the peer doesn't name it."""
        self.hand_over({**mark(TARGET), 'server-leaving': '1'})
        self.closed_targets.record_leaving.assert_called_once_with(TARGET)
        for headers in ({'server-leaving': '1'}, mark(TARGET)):
            self.hand_over(headers)
            self.closed_targets.record_leaving.assert_not_called()

    # Guards against requests to a target whose leaving was passed on while it
    # was not listed, or its failure domain was evacuated.
    def test_leaving_of_a_target_that_is_not_in_use_is_recorded(self) -> None:
        """It is closed once it is listed, in this life and in no later one."""
        for born_ms in (5, 6):
            for name in (TARGET.target, 'unlisted'):
                named = TARGET._replace(target=name, born_ms=born_ms)
                pauses = TargetPauses(PausedClock(0), random.Random(1))
                closed = ClosedTargets(pauses)
                self.hand_over({**mark(named), 'server-leaving': '1'}, closed)
                self.assertTrue(closed.is_closed(named))
                later = named._replace(born_ms=born_ms + 1)
                self.assertFalse(closed.is_closed(later))


def mark(target: ListedTarget) -> dict[str, str]:
    """Return the headers by which a peer names a target."""
    return dict(handover_mark.mark_answer([], target))


def read_broken() -> Iterator[bytes]:
    """Yield one event, after which the connection ends."""
    yield b'id: 1\ndata: x\n\n'
    raise NetworkError('reset')


if __name__ == '__main__':
    unittest.main()
