"""Calls that an instance has read whole, at each step, beside disturbances.

Guards against a call that gets neither an answer nor a refusal when its target
falls silent, when the configuration or the settings change, and when the
instance is stopped; each pair of these is played too.
"""

import unittest

from tests.lib.call_table.cell import list_cells
from tests.lib.call_table.cell_group import CellGroup
from tests.lib.call_table.cell_group import find_group
from tests.lib.call_table.cell_outcome import CellOutcome
from tests.lib.call_table.table_run import play_cells


class ReadCallsAreAnsweredTest(unittest.TestCase):
    """Plays the table once; each test checks one group of its cells."""

    outcomes: list[CellOutcome]

    @classmethod
    def setUpClass(cls) -> None:
        """Play the table."""
        cls.outcomes = play_cells(
            [cell for cell in list_cells() if not cell.explain_absence()]
        )

    def test_no_cell_is_forgotten(self) -> None:
        """Each cell has been played, or it is said why it can't occur."""
        played = {outcome.cell for outcome in self.outcomes}
        self.assertEqual(len(played), len(self.outcomes))
        for cell in list_cells():
            with self.subTest(cell=cell.label):
                reason = cell.explain_absence()
                self.assertNotEqual(bool(reason), cell in played)

    def test_silence_of_a_target_ends_no_call(self) -> None:
        """A call is answered, or refused before its answer begins."""
        self.check(CellGroup.SILENCE)

    def test_silence_amid_a_stream_ends_no_stream(self) -> None:
        """A stream that may be resumed outlasts the silence of its targets.

        An instance must not break it off at the last target that may run it.
        """
        self.check(CellGroup.SILENCE_IN_STREAM)

    def test_configuration_change_ends_no_call(self) -> None:
        """A call goes on under the version by which it was admitted."""
        self.check(CellGroup.CONFIGURATION)

    def test_sighup_ends_no_call(self) -> None:
        """Changed settings apply without any harm to a call."""
        self.check(CellGroup.RELOAD)

    def test_sigterm_ends_no_call(self) -> None:
        """A draining instance finishes what it has read."""
        self.check(CellGroup.DRAIN)

    def test_request_read_behind_a_stream_is_answered_at_sigterm(
        self,
    ) -> None:
        """A request is answered if the stream's head announced no close.

        Its caller has sent it long before the end of the stream, so that it
        doesn't cross the close.
        """
        self.check(CellGroup.READ_AHEAD_AT_DRAIN)

    def test_request_read_behind_a_silent_stream_is_answered_at_sigterm(
        self,
    ) -> None:
        """The same, while the target of the stream is silent."""
        self.check(CellGroup.BOTH)

    def check(self, group: CellGroup) -> None:
        """Print what came in the cells of a group; fail if one is wrong."""
        failures = []
        for outcome in self.outcomes:
            if find_group(outcome.cell) is not group:
                continue
            line = f'{outcome.cell.label}: {outcome.seen}'
            print(line)
            if outcome.failure:
                failures.append(f'{line} [{outcome.failure}]')
        if failures:
            self.fail(f'{len(failures)} cells:\n' + '\n'.join(failures))


if __name__ == '__main__':
    unittest.main()
