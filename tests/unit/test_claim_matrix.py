"""At-most-once execution under every fault and pair of faults at every step.

A call could run twice if an instance crashes, pauses, restarts or is
partitioned while it handles the call's key. Broken variants, each without
one rule, must fail in some cell.
"""

import unittest

from lagoonbend_devkit.worlds import ComponentTypes
from lagoonbend_devkit.worlds import ViolationError
from tests.lib.broken_claims import BROKEN_VARIANTS
from tests.lib.claim_matrix import list_cells
from tests.lib.claim_matrix import run_cell

CAUGHT_BY_MATRIX = (
    'memory of each instance alone',
    'no quarantine after a start',
    'ticket of an earlier incarnation',
    'pause not noticed',
    'receipt without an age',
    'claim given back after the write',
)


class ClaimMatrixTest(unittest.TestCase):
    """Runs all cells with the real components and broken variants."""

    def test_no_cell_breaks_a_promise(self) -> None:
        """The real components violate no guarantee in any cell."""
        cells = list(list_cells())
        for cell in cells:
            with self.subTest(cell=cell):
                run_cell(cell, ComponentTypes())
        # Kinds of keys, pairs of faults, and pairs of steps in order.
        self.assertEqual(2 * 11 * 11 * 28, len(cells))

    def test_cells_serve_a_fresh_call(self) -> None:
        """Calls are served, so the cells don't pass by refusing them all."""
        served = sum(
            run_cell(cell, ComponentTypes()).counts['served'] > 0
            for cell in list_cells()
            if cell.first_step == cell.second_step == 'answer'
        )
        self.assertEqual(2 * 11 * 11, served)

    def test_broken_variants_are_caught(self) -> None:
        """Each broken variant fails in at least one cell."""
        for name in CAUGHT_BY_MATRIX:
            with self.subTest(variant=name):
                self.assertTrue(_is_caught(BROKEN_VARIANTS[name]))


def _is_caught(types: ComponentTypes) -> bool:
    for cell in list_cells():
        try:
            run_cell(cell, types)
        except ViolationError:
            return True
    return False
