"""Connections to targets that are kept for another call.

Guards against a connection that one call has given back and closes later, when
it is idle or another call uses it.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import CallerGoneError
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import attempt
from lagoonbend_entry._internal.gateway import connection_pool
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from tests.unit.test_closed_targets import build_target


class ReleasedConnectionsTest(unittest.TestCase):
    """A stream whose caller leaves while its end is written."""

    def test_released_connection_is_not_closed(self) -> None:
        """The stream of the target is whole by then."""
        answer = Answer()
        answer.status = 200
        answer.keeps_connection = True
        answer.header_map = {
            'attempt-id': 'a',
            'server-stamp': 's',
            'content-type': 'text/event-stream',
        }
        connection = mock.Mock(spec=target_connection.TargetConnection)
        connection.received_bytes = 0
        connection.request_count = 0
        connection.read_head.return_value = answer
        connection.read_body.return_value = iter([b'id: 1\ndata: x\n\n'])
        pool = mock.Mock(spec=connection_pool.ConnectionPool)
        pool.acquire.return_value = connection
        call = mock.MagicMock(expires_at_ms=1_003_000)
        call.headers.attempt = 'a'
        call.route.may_repeat = False
        reply = mock.Mock(has_begun=True)
        reply.end_stream.side_effect = CallerGoneError('closed')
        closed_targets = mock.Mock()
        closed_targets.is_closed.return_value = False
        closed_targets.is_leaving.return_value = False
        tried = attempt.Attempt(
            call,
            build_target(),
            100,
            StreamPosition(),
            reply,
            pool,
            closed_targets,
            PausedClock(1_000_000),
            mock.Mock(),
            mock.Mock(),
            SendRecord(),
        )
        with self.assertRaises(CallerGoneError):
            tried.run()
        pool.release.assert_called_once_with(connection)
        connection.close.assert_not_called()


if __name__ == '__main__':
    unittest.main()
