"""No cell of the fault table is forgotten."""

import unittest

from tests.lib.fault_table import list_cells
from tests.lib.fault_table import NOT_COVERED
from tests.lib.fault_table import ROWS
from tests.lib.fault_table import STEPS

GREATEST_NOT_COVERED = 25


class FaultTableTest(unittest.TestCase):
    """Each cell names a test that exists, or says why none does."""

    def test_every_cell_is_answered(self) -> None:
        """All faults stand at all steps."""
        self.assertEqual(len(ROWS) * len(STEPS), len(list_cells()))

    def test_named_tests_exist(self) -> None:
        """A cell can't point to a test that was renamed away."""
        loader = unittest.TestLoader()
        for name in sorted(set(list_cells().values())):
            if name.startswith('tests.'):
                loader.loadTestsFromName(name)
        self.assertEqual([], loader.errors)

    def test_uncovered_cells_do_not_grow(self) -> None:
        """The number of cells that no test covers."""
        cells = list(list_cells().values())
        self.assertLessEqual(cells.count(NOT_COVERED), GREATEST_NOT_COVERED)
