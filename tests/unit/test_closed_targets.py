"""Targets that said in an answer that they leave.

Guards against a leaving that a late, older or repeated registration undoes,
and against one that outlives the target.
"""

from collections.abc import Callable
from collections.abc import Container
import random
import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import attempt
from lagoonbend_entry._internal.gateway import closed_targets
from lagoonbend_entry._internal.gateway import connection_pool
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform.target_codec import decode_target

BORN_MS = 1_700_000_000_000
REGISTRATION = (
    b'{"service": "desk", "address": "10.0.0.1:80", "zone": "a", "slots": 4,'
    b' "state": "ready", "born": %b}'
)


def build_target(
    name: str = 'i-1', born_ms: int | None = BORN_MS, port: int = 80
) -> ListedTarget:
    """Return a target as the platform lists it."""
    return ListedTarget(
        name, 'desk', '10.0.0.1', port, 'a', 4, False, born_ms=born_ms
    )


def build_pauses() -> TargetPauses:
    """Return a record of pauses that has none."""
    return TargetPauses(PausedClock(1_000_000), random.Random(1))


class ClosedTargetsTest(unittest.TestCase):
    """Which registrations are of the life of the target that leaves."""

    def setUp(self) -> None:
        """Let one target leave."""
        self.closed_targets = closed_targets.ClosedTargets(build_pauses())
        self.closed_targets.record_leaving(build_target())

    # Guards against targets that are closed because another one leaves.
    def test_only_the_target_itself_is_closed(self) -> None:
        """Another identity at the same address is another target."""
        other = build_target('i-2')
        self.assertTrue(self.closed_targets.is_closed(build_target()))
        self.assertFalse(self.closed_targets.is_closed(other))
        self.assertEqual(
            ['i-1'],
            list(self.closed_targets.list_closed([other, build_target()])),
        )

    # Guards against a target that is left unused after a restart.
    def test_later_start_is_a_new_target(self) -> None:
        """It is open, at its address of before too."""
        new = build_target(born_ms=BORN_MS + 1)
        self.assertFalse(self.closed_targets.is_closed(new))
        self.assertTrue(self.closed_targets.record_leaving(new))
        self.assertTrue(self.closed_targets.is_closed(new))

    # Guards against an older copy of the list that undoes a leaving.
    def test_earlier_start_is_an_older_copy(self) -> None:
        """It is closed, and an answer to it replaces nothing."""
        old = build_target(born_ms=BORN_MS - 1)
        self.assertTrue(self.closed_targets.is_closed(old))
        self.assertFalse(self.closed_targets.record_leaving(old))
        self.assertTrue(self.closed_targets.is_closed(build_target()))

    # Guards against a target without a start that is closed for ever.
    def test_address_tells_lives_apart_without_a_start(self) -> None:
        """Whichever of the two registrations has no start."""
        self.assertTrue(
            self.closed_targets.is_closed(build_target(born_ms=None))
        )
        self.assertFalse(
            self.closed_targets.is_closed(build_target(born_ms=None, port=81))
        )

    # Guards against a log line for each answer of a target that leaves.
    def test_it_is_recorded_once(self) -> None:
        """The caller of the method closes idle connections only once."""
        self.assertFalse(self.closed_targets.record_leaving(build_target()))

    # Guards against memory that grows with each target of the fleet's life.
    def test_number_is_bounded(self) -> None:
        """The oldest is dropped."""
        for number in range(closed_targets.MAX_CLOSURES):
            self.closed_targets.record_leaving(build_target(f'j-{number}'))
        self.assertEqual(closed_targets.MAX_CLOSURES, len(self.closed_targets))
        self.assertFalse(self.closed_targets.is_closed(build_target()))


class LeavingOnTheWireTest(unittest.TestCase):
    """The header of answers and the start in registrations."""

    # Guards against a leaving that is read from another value.
    def test_header_says_that_a_target_leaves(self) -> None:
        """Only the value of the users' pages does."""
        for value, is_leaving in (('1', True), (' 1 ', True), ('0', False)):
            with self.subTest(value=value):
                facts = answer_headers.decode_answer_headers(
                    200, {'server-leaving': value}
                )
                self.assertEqual(is_leaving, facts.is_leaving)
        facts = answer_headers.decode_answer_headers(200, {})
        self.assertFalse(facts.is_leaving)

    # Guards against a target that is lost because its start can't be read.
    def test_start_is_a_whole_number_or_unknown(self) -> None:
        """The registration holds in either case."""
        for value, born_ms in (
            (b'1700000000000', BORN_MS),
            (b'"1700000000000"', None),
            (b'true', None),
            (b'null', None),
        ):
            with self.subTest(value=value):
                item = PublishedItem('servers/i-1', 1, REGISTRATION % value)
                target = decode_target(item)
                assert target is not None
                self.assertEqual(born_ms, target.born_ms)


class OlderGrantTest(unittest.TestCase):
    """A slot that was granted before the target closed."""

    # Guards against a request that is sent after a connection has opened,
    # since the target was open when the slot was granted.
    def test_request_is_not_sent(self) -> None:
        """The leaving becomes known while the connection is opened."""
        self.check_not_sent(lambda t: t.record_leaving(build_target()))

    # Guards against the same for a target that wants a pause.
    def test_request_is_not_sent_in_a_pause(self) -> None:
        """The pause becomes known while the connection is opened."""
        self.check_not_sent(lambda t: t.record_pause(build_target(), 500))

    # Guards against the same for a target whose leaving the list tells.
    def test_request_is_not_sent_to_a_target_off_the_list(self) -> None:
        """The list changes while the connection is opened."""
        listed = {build_target()}
        self.check_not_sent(lambda unused: listed.clear(), listed)

    def check_not_sent(
        self,
        close: Callable[[closed_targets.ClosedTargets], object],
        listed: Container[ListedTarget] = (build_target(),),
    ) -> None:
        """Check that no request is sent to a target that closes late.

        :param listed: targets that may receive calls.
        """
        targets = closed_targets.ClosedTargets(build_pauses())
        connection = mock.Mock(spec=target_connection.TargetConnection)
        connection.request_count = 0
        pool = mock.Mock(spec=connection_pool.ConnectionPool)

        def acquire(*unused: object, **options: object) -> mock.Mock:
            close(targets)
            return connection

        pool.acquire.side_effect = acquire
        for run in ('run', 'begin'):
            with self.subTest(run=run):
                tried = attempt.Attempt(
                    mock.MagicMock(),
                    build_target(),
                    100,
                    mock.MagicMock(),
                    mock.MagicMock(),
                    pool,
                    targets,
                    PausedClock(1_000_000),
                    mock.MagicMock(),
                    mock.MagicMock(),
                    SendRecord(),
                    is_listed=lambda target: target in listed,
                )
                report = tried.run() if run == 'run' else tried.begin(200)
                assert report is not None
                self.assertIs(AttemptOutcome.WRONG_TARGET, report.outcome)
                self.assertFalse(tried.is_sent)
        connection.send.assert_not_called()
        self.assertEqual(2, connection.close.call_count)


class IdleConnectionsTest(unittest.TestCase):
    """Idle connections to a target that leaves."""

    # Guards against connections that keep a target from its end.
    def test_they_are_closed_at_once(self) -> None:
        """Those to other targets stay open."""
        pool = connection_pool.ConnectionPool(PausedClock(1_000_000))
        connections = []
        for port in (80, 81):
            connection = mock.Mock(spec=target_connection.TargetConnection)
            connection.address = ('10.0.0.1', port)
            connection.is_reusable = True
            pool.release(connection)
            connections.append(connection)
        pool.close_idle(('10.0.0.1', 80))
        pool.close_idle(('10.0.0.1', 82))
        connections[0].close.assert_called_once()
        connections[1].close.assert_not_called()


if __name__ == '__main__':
    unittest.main()
