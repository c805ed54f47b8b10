"""Completeness of the table that maps faults to the tests covering them.

A renamed or deleted test would leave a cell without a test unnoticed.
"""

import unittest

from tests.lib.fault_table import list_cells
from tests.lib.fault_table import NOT_COVERED
from tests.lib.fault_table import ROWS
from tests.lib.fault_table import STEPS

MAX_NOT_COVERED = 25


class FaultTableTest(unittest.TestCase):
    """Each cell names an existing test or a reason for having none."""

    def test_every_cell_is_answered(self) -> None:
        """There is a cell for each fault at each step."""
        self.assertEqual(len(ROWS) * len(STEPS), len(list_cells()))

    def test_named_tests_exist(self) -> None:
        """Renaming or deleting a test that a cell names is an error."""
        loader = unittest.TestLoader()
        for name in sorted(set(list_cells().values())):
            if name.startswith('tests.'):
                loader.loadTestsFromName(name)
        self.assertEqual([], loader.errors)

    def test_uncovered_cells_do_not_grow(self) -> None:
        """The number of cells without a test is limited."""
        cells = list(list_cells().values())
        self.assertLessEqual(cells.count(NOT_COVERED), MAX_NOT_COVERED)
